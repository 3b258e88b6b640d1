import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Large messages in an upgrade, on new connections and on kept ones: does the state folder stay within disk_mb? */
final class DiskInUpgrade {
    /** Size of a body. It is under 64 KiB. */
    private static final int BYTES = 59_600;
    /** Messages on new connections, and on connections that were open before the upgrade. */
    private static final int ON_NEW = 14, ON_KEPT = 10;

    private static final long TIMEOUT_MS = 12_000;
    /** Ordinary traffic before: small messages with the class's whole time, at 45 a second. */
    private static final int BEFORE = 1400;

    private static final long BEFORE_TIMEOUT_MS = 24_000, BEFORE_INTERVAL_MS = 22;
    private static final int SMALL = 200;
    /** Limit of the folder, bytes, whether a megabyte has 1,000,000 bytes or 1,048,576. */
    private static final long BYTES_PER_MB = 1 << 20;

    private static final long BLOCK = 512;
    private static final long KILL_AFTER_MS = 3700;

    private DiskInUpgrade() {}

    public static void main(final String[] args) {
        Rig.main(args, DiskInUpgrade::play);
    }

    private static int play(final Rig rig) throws Exception {
        // Healthy partners: three take half a second for a call, the others answer at once.
        for (final int block : List.of(7, 8, 9, 10, 11, 12, 13)) {
            final Rig.Endpoint endpoint = rig.new Endpoint("s-" + block, block, (at, socket, call) -> {
                Rig.sleep(block < 10 ? 500 : 0);
                rig.deliver(socket, call);
            });
            rig.discovery.list("s-" + block, endpoint.entry("small-partner", "Ready"));
        }
        rig.configure(rig.discovery.port);
        final Rig.Courier first = rig.start("a");
        if (!first.awaitUp()) {
            return Rig.CANNOT_RUN;
        }
        Rig.sleep(3000);
        final AtomicInteger number = new AtomicInteger(0x40000);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), rig.listenPort)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(400);
            for (int index = 0; index < BEFORE; index++) {
                handIn(rig, socket, number, 10 + index % 4, SMALL, BEFORE_TIMEOUT_MS);
                Rig.sleep(BEFORE_INTERVAL_MS);
            }
        }
        final List<Socket> kept = new ArrayList<>();
        for (int index = 0; index < ON_KEPT; index++) {
            final Socket socket = new Socket(InetAddress.getLoopbackAddress(), rig.listenPort);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(400);
            kept.add(socket);
            if (handIn(rig, socket, number, 7 + index % 3, SMALL, TIMEOUT_MS) != 202) {
                return Rig.CANNOT_RUN;
            }
        }
        Rig.await(10_000, () -> rig.deliveredMs.size() == BEFORE + ON_KEPT);
        final AtomicBoolean ends = new AtomicBoolean();
        final AtomicLong most = new AtomicLong();
        rig.note("delivered so far " + rig.deliveredMs.size() + "; the folder holds " + used(rig.state) + " bytes");
        final Thread watch = Rig.run(() -> {
            while (!ends.get()) {
                final long bytes = used(rig.state);
                if (bytes > most.get()) {
                    most.set(bytes);
                }
            }
        });
        Rig.Courier second = null;
        if (rig.trouble) {
            second = rig.start("b");
            if (!second.awaitYes()) {
                return Rig.CANNOT_RUN;
            }
            first.signal("TERM");
        }
        Rig.sleep(300);
        final AtomicInteger taken = new AtomicInteger();
        for (int index = 0; index < ON_NEW; index++) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), rig.listenPort)) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(400);
                taken.addAndGet(handIn(rig, socket, number, 7 + index % 3, BYTES, TIMEOUT_MS) == 202 ? 1 : 0);
            }
        }
        rig.note("on new connections " + taken.get() + " were taken on; the folder held at most " + most + " bytes");
        for (int index = 0; index < ON_KEPT; index++) {
            taken.addAndGet(handIn(rig, kept.get(index), number, 7 + index % 3, BYTES, TIMEOUT_MS) == 202 ? 1 : 0);
        }
        Rig.sleep(KILL_AFTER_MS - 300);
        if (rig.trouble) {
            first.kill();
        }
        Rig.sleep(2000);
        ends.set(true);
        watch.join();
        for (final Socket socket : kept) {
            socket.close();
        }
        final long limit = rig.diskMb * BYTES_PER_MB;
        rig.say("taken on " + taken + " messages of " + BYTES + " bytes; the folder held at most " + most + " bytes of "
                + limit);
        if (taken.get() == 0) {
            return Rig.CANNOT_RUN;
        }
        return most.get() > limit ? Rig.BROKEN : Rig.HELD;
    }

    private static int handIn(
            final Rig rig, final Socket socket, final AtomicInteger number, final int block, final int bytes,
            final long timeoutMs) {
        final String id = String.format("%016x", number.incrementAndGet());
        int status = 0;
        try {
            socket.getOutputStream().write(Rig.request(id, "chart-notice", block, timeoutMs, new byte[bytes]));
            status = Rig.Message.read(new BufferedInputStream(socket.getInputStream())).status();
        } catch (final IOException e) {
            rig.note("client: " + id + ": " + e.getMessage());
        }
        rig.note("client: " + id + " " + bytes + " bytes: answer " + status);
        return status;
    }

    /** Size of the folder's files, each in whole blocks. A file that is renamed meanwhile is counted once. */
    private static long used(final Path folder) {
        long bytes = 0;
        final Set<Object> seen = new HashSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (final Path file : files) {
                try {
                    final BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
                    if (seen.add(attributes.fileKey())) {
                        bytes += (attributes.size() + BLOCK - 1) / BLOCK * BLOCK;
                    }
                } catch (final IOException e) {
                    // It was renamed or removed meanwhile.
                    continue;
                }
            }
        } catch (final IOException e) {
            return 0;
        }
        return bytes;
    }
}
