import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A clump of messages for one partner, each well within 64 KiB: does the body of each call stay within it too? */
final class BulkSize {
    private static final int MAX_BODY = 65_536;
    private static final int MESSAGES = 8;
    private static final int BYTES = 30_000;
    private static final long TIMEOUT_MS = 12_000;

    private BulkSize() {}

    public static void main(final String[] args) {
        Rig.main(args, BulkSize::play);
    }

    private static int play(final Rig rig) throws Exception {
        final AtomicInteger tooLarge = new AtomicInteger();
        final Set<String> ended = ConcurrentHashMap.newKeySet();
        final Rig.Endpoint endpoint = rig.new Endpoint("s-1", 7, (at, socket, call) -> {
            rig.note("endpoint: " + call.line() + ", body of " + call.body().length + " bytes, " + Rig.ids(call));
            if (call.body().length > MAX_BODY) {
                tooLarge.incrementAndGet();
                Rig.Server.answer(socket, 413, "", "");
                return;
            }
            Rig.sleep(300);
            rig.deliver(socket, call);
            ended.addAll(Rig.ids(call));
        });
        rig.discovery.list("s-1", endpoint.entry("big-agent", "Ready"));
        rig.configure(rig.discovery.port);
        if (!rig.start("a").awaitUp()) {
            return Rig.CANNOT_RUN;
        }
        Rig.sleep(3000);
        for (int number = 0; number < MESSAGES; number++) {
            final String id = String.format("%016x", 0x10000 + number);
            final String kind = number % 4 == 3 ? "licence-order" : "chart-notice";
            final Runnable client = () -> rig.handIn(id, kind, 7, TIMEOUT_MS, new byte[BYTES]);
            if (rig.trouble) {
                Rig.run(client);
            } else {
                client.run();
                Rig.await(3000, () -> ended.contains(id));
            }
        }
        Rig.await(TIMEOUT_MS + 1500, () -> rig.accepted.size() == MESSAGES
                && rig.accepted.stream().allMatch(
                        message -> ended.contains(message.id()) || rig.noticedMs.containsKey(message.id())));
        rig.say("taken on " + rig.accepted.size() + " of " + MESSAGES + ", delivered " + ended.size()
                + ", ended by a notice without delivery " + rig.noticedMs.size()
                + ", calls with a body over 64 KiB " + tooLarge.get());
        if (rig.accepted.size() < MESSAGES) {
            return Rig.CANNOT_RUN;
        }
        return tooLarge.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
