package driftchute.node;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Applies new configurations. Two processes of an upgrade are one courier, so a SIGHUP to either counts for both, and a
 * process that begins to serve applies what the configuration says by then.
 */
final class ConfigReload {
    /** Interval at which a reload by another process is noticed. */
    private static final long POLL_MS = 50;

    private final Map<String, String> environment;
    private final EventLoop loop;
    private final DeliveryService host;
    private final MovedDiscovery moved;

    ConfigReload(
            final Map<String, String> environment,
            final EventLoop loop,
            final DeliveryService host,
            final MovedDiscovery moved) {
        this.environment = environment;
        this.loop = loop;
        this.host = host;
        this.moved = moved;
    }

    /** Starts to follow the reloads of the courier's other processes. Event loop only. */
    void start() {
        loop.scheduleWithFixedDelay(this::followOthers, POLL_MS, POLL_MS, TimeUnit.MILLISECONDS);
    }

    /** Handles SIGHUP. Synchronized, so that after two signals the later file wins. An invalid file changes nothing. */
    synchronized void onSignal() {
        try {
            final Config fresh = Config.read(environment);
            loop.execute(() -> {
                host.reload(fresh);
                moved.publish(fresh.discovery());
            });
        } catch (final Config.BadConfigException e) {
            Log.info("SIGHUP: the configuration stays as it was: " + e.getMessage());
        }
    }

    /** Applies what other processes have applied, and what the configuration says now. Event loop only. */
    void applyLatest() {
        followOthers();
        try {
            host.moveDiscovery(Config.read(environment).discovery());
        } catch (final Config.BadConfigException e) {
            Log.info("the configuration stays as it was: " + e.getMessage());
        }
    }

    private void followOthers() {
        final InetSocketAddress address = moved.poll();
        if (address == null) {
            return;
        }
        try {
            // The file may have been replaced once more since the other process has read it.
            host.moveDiscovery(Config.read(environment).discovery());
        } catch (final Config.BadConfigException e) {
            host.moveDiscovery(address);
        }
    }
}
