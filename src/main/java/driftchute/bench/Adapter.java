package driftchute.bench;

import driftchute.Courier;
import driftchute.DeliveryPolicy;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Translates between the simulator's line protocol and {@link Courier}, and decides nothing. Each instance has its own
 * {@link DeliveryPolicy}; they share nothing. Unknown events, settings and fields are ignored.
 */
final class Adapter {
    private static final long US_PER_MS = 1000;

    private final BufferedReader in;
    private final Writer out;
    private final StringBuilder output = new StringBuilder();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Map<Integer, Instance> touched = new TreeMap<>();
    private final Map<Integer, List<Fields>> listTables = new HashMap<>();
    private long nowUs;
    private long line;

    Adapter(final BufferedReader in, final Writer out) {
        this.in = in;
        this.out = out;
    }

    /** Answers batches until the input ends. */
    void run() throws IOException {
        String text = in.readLine();
        while (text != null) {
            line++;
            if (!text.isEmpty()) {
                handle(text);
            }
            text = in.readLine();
        }
    }

    private void handle(final String text) throws IOException {
        final Fields fields = Fields.parse(text, line);
        switch (fields.tag()) {
            case "batch" -> nowUs = fields.integer("clock");
            case "flush" -> finishBatch();
            case "sheet" -> readListTable(fields);
            case "enlist" -> createInstance(fields);
            case "stop" -> {
                instances.remove(instanceNumber(fields));
                touched.remove(instanceNumber(fields));
            }
            default -> deliver(fields);
        }
    }

    private void finishBatch() throws IOException {
        touched.values().forEach(instance -> instance.runGuarded(() -> instance.control.decide(nowUs)));
        touched.clear();
        output.append("yield\n");
        out.append(output);
        out.flush();
        output.setLength(0);
    }

    private static int instanceNumber(final Fields fields) {
        return (int) fields.integer("i");
    }

    private void readListTable(final Fields fields) throws IOException {
        final long rows = fields.integer("rows");
        final List<Fields> entries = new ArrayList<>();
        for (long row = 0; row < rows; row++) {
            final String text = in.readLine();
            line++;
            final Fields entry = text == null ? null : Fields.parse(text, line);
            if (entry == null || !entry.tag().equals("m")) {
                throw fields.malformed("a list table of " + rows + " rows ends after " + row);
            }
            entries.add(entry);
        }
        listTables.put((int) fields.integer("bank"), entries);
    }

    private void createInstance(final Fields fields) {
        final int number = instanceNumber(fields);
        final Instance instance = new Instance(number);
        instances.put(number, instance);
        touched.put(number, instance);
        final Courier.Settings settings = SettingsReader.read(fields);
        instance.settings = settings;
        final List<String> reported = List.of(fields.list("feedback.fields"));
        instance.shareField = reported.indexOf("x0");
        instance.limitField = reported.indexOf("x1");
        instance.runGuarded(
                () -> instance.control = new DeliveryPolicy(settings, fields.integer("nonce64", 0), instance));
    }

    private void deliver(final Fields fields) {
        final Instance instance = instances.get(instanceNumber(fields));
        if (instance == null) {
            throw fields.malformed("'" + fields.tag() + "' for an unknown instance");
        }
        final Runnable event =
                switch (fields.tag()) {
                    case "endpoints" -> list(instance, fields);
                    case "incoming" -> message(instance, fields);
                    case "returned" -> outcome(instance, fields);
                    case "expired" -> {
                        final String ref = fields.text("ref");
                        yield () -> instance.control.onWithdrawn(nowUs, ref);
                    }
                    default -> null;
                };
        touched.put(instance.number, instance);
        if (event != null) {
            instance.runGuarded(event);
        }
    }

    private Runnable list(final Instance instance, final Fields fields) {
        final Courier.Update update =
                switch (fields.text("scope")) {
                    case "incr" -> Courier.Update.CHANGES;
                    case "total" -> Courier.Update.WHOLE;
                    case "warm_copy" -> Courier.Update.RESTORED;
                    case "lost" -> Courier.Update.LOST;
                    default -> throw fields.malformed("unknown scope '" + fields.text("scope") + "'");
                };
        final List<Courier.Endpoint> entries = new ArrayList<>();
        if (update != Courier.Update.LOST) {
            final List<Fields> rows = listTables.get((int) fields.integer("bank"));
            if (rows == null) {
                throw fields.malformed("no list table " + fields.text("bank"));
            }
            rows.forEach(row -> entries.add(endpoint(instance, row)));
        }
        return () -> instance.control.onListUpdate(nowUs, update, entries);
    }

    private static Courier.Endpoint endpoint(final Instance instance, final Fields row) {
        final Courier.Condition condition =
                switch (row.text("condition", "U")) {
                    case "U" -> Courier.Condition.LISTED;
                    case "L" -> Courier.Condition.DRAINING;
                    case "D" -> Courier.Condition.GONE;
                    default -> throw row.malformed("unknown condition '" + row.text("condition") + "'");
                };
        final String kindName = row.text("kind", "");
        int kind = -1;
        for (int index = 0; index < instance.settings.destinationKinds().size(); index++) {
            if (instance.settings.destinationKinds().get(index).name().equals(kindName)) {
                kind = index;
            }
        }
        return new Courier.Endpoint(
                row.integer("endpoint"),
                condition,
                row.text("locality", ""),
                row.number("power_hint", 0),
                kind,
                row.integer("cell", 0));
    }

    private Runnable message(final Instance instance, final Fields fields) {
        final String className = fields.text("qos", "");
        int classIndex = -1;
        for (int index = 0; index < instance.settings.classes().size(); index++) {
            if (instance.settings.classes().get(index).name().equals(className)) {
                classIndex = index;
            }
        }
        if (classIndex < 0) {
            throw fields.malformed("unknown class '" + className + "'");
        }
        final String tenantName = fields.text("user_group", "");
        int tenant = -1;
        for (int index = 0; index < instance.settings.tenants().size(); index++) {
            if (instance.settings.tenants().get(index).name().equals(tenantName)) {
                tenant = index;
            }
        }
        final var message = new Courier.Message(
                fields.text("ref"),
                classIndex,
                tenant,
                fields.text("object", null),
                fields.integer("valid_until"),
                fields.integer("destination", 0));
        return () -> instance.control.onMessage(nowUs, message);
    }

    private static Courier.Result result(final Fields fields) {
        return switch (fields.text("reason")) {
            case "served" -> Courier.Result.DELIVERED;
            case "server_error" -> Courier.Result.ERROR;
            case "turned_away" -> Courier.Result.REFUSED;
            case "no_answer" -> Courier.Result.TIMED_OUT;
            case "no_connection" -> Courier.Result.NO_CONNECTION;
            case "connection_lost" -> Courier.Result.RESET;
            case "called_off" -> Courier.Result.CANCELLED;
            case "not_sent" -> Courier.Result.NOT_SENT;
            default -> throw fields.malformed("unknown reason '" + fields.text("reason") + "'");
        };
    }

    private static Courier.ReportedLimit reportedLimit(final Instance instance, final Fields fields) {
        final String[] values = fields.list("load");
        if (values.length == 0
                || instance.shareField < 0
                || instance.limitField < 0
                || Math.max(instance.shareField, instance.limitField) >= values.length) {
            return null;
        }
        return new Courier.ReportedLimit(
                fields.number(values[instance.shareField]), fields.number(values[instance.limitField]));
    }

    private Runnable outcome(final Instance instance, final Fields fields) {
        final Courier.Result result = result(fields);
        final long waitUs = result == Courier.Result.REFUSED ? fields.integer("remark_ms", 0) * US_PER_MS : 0;
        final var outcome = new Courier.Outcome(
                fields.text("ref"),
                result,
                fields.flag("complete"),
                fields.integer("endpoint", 0),
                fields.integer("duration", 0),
                waitUs,
                reportedLimit(instance, fields));
        return () -> instance.control.onOutcome(nowUs, outcome);
    }

    /** One instance: its decisions and the writer of its actions. */
    private final class Instance implements Courier.Actions {
        private final int number;
        private Courier.Settings settings;
        private Courier control;
        private int shareField = -1;
        private int limitField = -1;

        Instance(final int instance) {
            this.number = instance;
        }

        /** Runs an event. An exception of the decisions is reported to the simulator with its cause. */
        void runGuarded(final Runnable event) {
            try {
                event.run();
            } catch (final RuntimeException e) {
                final StackTraceElement[] trace = e.getStackTrace();
                final String where = trace.length > 0 ? " at " + trace[0] : "";
                appendAction("die")
                        .append("\twhat=")
                        .append((e + where).replaceAll("\\s+", " "))
                        .append('\n');
                e.printStackTrace();
            }
        }

        private StringBuilder appendAction(final String action) {
            return output.append(action).append("\ti=").append(number);
        }

        @Override
        public void send(final String messageId, final long endpoint, final long timeoutUs) {
            appendAction("pass_on")
                    .append("\tref=")
                    .append(messageId)
                    .append("\tpatience=")
                    .append(timeoutUs)
                    .append("\tendpoint=")
                    .append(endpoint)
                    .append('\n');
        }

        @Override
        public void refuse(final String messageId, final long retryAfterUs) {
            appendAction("decline").append("\tref=").append(messageId);
            if (retryAfterUs > 0) {
                output.append("\tretry_after=").append(retryAfterUs);
            }
            output.append('\n');
        }

        @Override
        public void fail(final String messageId) {
            appendAction("drop_request").append("\tref=").append(messageId).append('\n');
        }

        @Override
        public void cancel(final String messageId, final int attempt) {
            appendAction("stop_attempt")
                    .append("\tref=")
                    .append(messageId)
                    .append("\tleg=")
                    .append(attempt)
                    .append('\n');
        }

        @Override
        public void closeIdleConnections(final long endpoint) {
            appendAction("free_links").append("\tendpoint=").append(endpoint).append('\n');
        }

        @Override
        public void followList() {
            appendAction("follow").append("\ton=1\n");
        }

        @Override
        public void wake(final long delayUs) {
            appendAction("remind").append("\tdelay=").append(delayUs).append("\ttoken=0\n");
        }
    }
}
