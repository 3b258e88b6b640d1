package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.FileInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Every descriptor is in use when the watch breaks and a notice is due; then one becomes free again. */
@Timeout(60)
final class NoDescriptorTest {
    private static final long RULE_MS = 300;
    private static final long OUT_MS = 3000;
    private final SteppedLoop loop = new SteppedLoop();
    private final List<String> told = new ArrayList<>();
    private final List<FileInputStream> taken = new ArrayList<>();

    @AfterEach
    void end() throws IOException {
        give();
        loop.close();
    }

    private void takeAll() {
        try {
            while (true) {
                taken.add(new FileInputStream("/dev/null"));
            }
        } catch (final IOException e) {
            assertTrue(e.getMessage().contains("Too many open files"), e.getMessage());
        }
    }

    private void give() throws IOException {
        for (final FileInputStream one : taken) {
            one.close();
        }
        taken.clear();
    }

    /**
     * Advances the clock. An operation without a descriptor is failed by a thread of Netty's, which is awaited each
     * time.
     */
    private void pass(final long ms) {
        for (long passed = 0; passed < ms; passed += 50) {
            loop.pass(50);
            GlobalEventExecutor.INSTANCE.submit(() -> {}).syncUninterruptibly();
            loop.settle();
        }
    }

    private static JournaledMessage owed(final String id) {
        final JournaledMessage held = new JournaledMessage(id, "safe", null, 7, 0, new byte[0]);
        held.setNotice(new JournaledMessage.Notice(true, 0));
        return held;
    }

    private final class Listener implements ListWatcher.Listener {
        @Override
        public void onList(final JsonNode list, final InetSocketAddress from) {
            told.add(list.path("seq").asText());
        }

        @Override
        public void onUnchanged() {
            told.add("same");
        }

        @Override
        public void onLost() {
            told.add("lost");
        }
    }

    @Test
    void theWatchAndTheNoticesContinueOnceADescriptorIsFree() throws IOException {
        final FakeServerOnLoop agent = new FakeServerOnLoop(loop, (request, peer) -> {
            if (request.startsWith("POST")) {
                peer.write("HTTP/1.1 204 X\r\n\r\n");
            } else {
                peer.head();
                peer.chunk("{\"seq\":42,\"whole\":true,\"hosts\":[]}");
            }
        });
        final ListWatcher watches = new ListWatcher(agent.address(), loop.mine(), loop::nowUs, 1, new Listener());
        final NoticeSender notices =
                new NoticeSender(agent.address(), loop.mine(), heard -> heard.forEach(held -> told.add(held.id)));
        watches.start();
        assertTrue(loop.until(RULE_MS, () -> told.contains("42")) < RULE_MS);
        // First they are refused, so that all classes that a failure needs are loaded while there are descriptors.
        agent.refuse();
        agent.peers.forEach(FakeServerOnLoop.Peer::reset);
        notices.add(owed("m0"));
        notices.flush();
        pass(OUT_MS);
        agent.listen();
        assertTrue(loop.until(RULE_MS, () -> agent.open() == 2 && told.contains("m0")) < RULE_MS);
        told.clear();
        final int asked = agent.requests.size();
        agent.peers.forEach(FakeServerOnLoop.Peer::reset);
        loop.settle();
        takeAll();
        notices.add(owed("m1"));
        notices.flush();
        pass(OUT_MS);
        assertEquals(asked, agent.requests.size());
        assertEquals(List.of("lost"), told);
        give();
        final long afterMs = loop.until(RULE_MS, () -> told.contains("42") && told.contains("m1"));
        assertTrue(afterMs < RULE_MS, afterMs + " ms: " + told);
        assertEquals(0, loop.foreignTimers(), "timers set by another thread than the loop's");
    }
}
