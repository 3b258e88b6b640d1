import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins for the platform, endpoints and clients, and the control of a courier process. Loopback only. */
final class Stand {
    private static final long START_NS = System.nanoTime();
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private Stand() {}

    /** Milliseconds since the test began. */
    static double ms() {
        return (System.nanoTime() - START_NS) / 1e6;
    }

    static void sleep(final long ms) {
        try {
            Thread.sleep(ms);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemon(final Runnable work) {
        final Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** What was sent, answered and run, one line an event. */
    static final class Record implements Closeable {
        private final java.io.PrintWriter out;

        Record(final Path file) throws IOException {
            out = new java.io.PrintWriter(Files.newBufferedWriter(file));
        }

        synchronized void line(final String text) {
            out.printf(Locale.ROOT, "%10.1f %s%n", ms(), text);
            out.flush();
        }

        @Override
        public synchronized void close() {
            out.close();
        }
    }

    /** A request or the head of an answer, with its body. */
    record Http(String first, Map<String, String> headers, byte[] body) {
        String header(final String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return first.startsWith("HTTP/1.1 ") ? Integer.parseInt(first.substring(9, 12)) : -1;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static String readLine(final InputStream in) throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new java.io.EOFException("end after '" + line + "'");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads one message with a Content-Length (or without a body). */
    static Http read(final InputStream in) throws IOException {
        String first = readLine(in);
        while (first.isEmpty()) {
            first = readLine(in);
        }
        final Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            final int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        final int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        final byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new java.io.EOFException("end inside a body");
        }
        return new Http(first, headers, body);
    }

    /** One connection of a server. */
    static final class Conn {
        final Socket socket;

        Conn(final Socket socket) {
            this.socket = socket;
        }

        void raw(final String text) throws IOException {
            final OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void answer(final int status, final String headers) throws IOException {
            raw("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: 0\r\n\r\n");
        }

        /** True if the other side has neither closed nor reset the connection, and sends nothing meanwhile. */
        boolean staysOpen(final long forMs) {
            try {
                socket.setSoTimeout((int) Math.max(1, forMs));
                final int next = socket.getInputStream().read();
                return next >= 0;
            } catch (final SocketTimeoutException e) {
                return true;
            } catch (final IOException e) {
                return false;
            }
        }
    }

    interface Handler {
        void handle(Http request, Conn conn) throws IOException;
    }

    /** An HTTP server with a thread for each connection. */
    static final class Server implements Closeable {
        final ServerSocket listener;
        volatile Handler handler;

        Server(final Handler handler) throws IOException {
            this.handler = handler;
            this.listener = new ServerSocket(0, 512, LOOPBACK);
            daemon(this::acceptAll);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void acceptAll() {
            try {
                while (true) {
                    final Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> serve(new Conn(socket)));
                }
            } catch (final IOException e) {
                // Closed at the end of the test.
            }
        }

        private void serve(final Conn conn) {
            try (Socket socket = conn.socket) {
                final InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                while (true) {
                    socket.setSoTimeout(0);
                    handler.handle(read(in), conn);
                }
            } catch (final IOException e) {
                // The courier closed the connection.
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** Discovery and the receiver of notices, at one address. */
    static final class Platform implements Closeable {
        final Server server;
        final Map<String, String> notices = new java.util.concurrent.ConcurrentHashMap<>();
        private final Record record;
        private final List<String[]> versions = new ArrayList<>();
        private final Map<String, String> hosts = new LinkedHashMap<>();
        private long seq;

        Platform(final Record record, final long seq) throws IOException {
            this.record = record;
            this.seq = seq;
            this.server = new Server(this::handle);
        }

        static String host(final String name, final String dial, final String kind, final long block, final String health) {
            return "{\"host\":\"" + name + "\",\"dial\":\"" + dial + "\",\"site\":\"puntarenas\",\"class\":\"" + kind
                    + "\",\"block\":" + block + ",\"health\":\"" + health + "\",\"share\":20.0,\"born_ms\":0}";
        }

        synchronized void set(final String name, final String entry) {
            hosts.put(name, entry);
            seq++;
            versions.add(new String[] {Long.toString(seq), entry});
            notifyAll();
        }

        synchronized String whole() {
            return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + String.join(",", hosts.values()) + "]}";
        }

        private void handle(final Http request, final Conn conn) throws IOException {
            if (request.first().startsWith("POST /v1/outcomes ")) {
                for (final String line : request.text().split("\n")) {
                    final Matcher id = Pattern.compile("\"id\":\"([^\"]*)\"").matcher(line);
                    if (id.find()) {
                        notices.putIfAbsent(id.group(1), String.format(Locale.ROOT, "%.1f %s", ms(), line));
                    }
                    record.line("notice " + line);
                }
                conn.raw("HTTP/1.1 204 No Content\r\n\r\n");
                return;
            }
            if (!request.first().contains("watch=1")) {
                final String list = whole();
                conn.raw("HTTP/1.1 200 OK\r\nContent-Length: " + (list.length() + 1) + "\r\n\r\n" + list + "\n");
                return;
            }
            final Matcher after = Pattern.compile("after=(-?\\d+)").matcher(request.first());
            after.find();
            watch(Long.parseLong(after.group(1)), conn);
        }

        private void watch(final long after, final Conn conn) throws IOException {
            conn.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            long told = after;
            boolean first = true;
            while (true) {
                final String line;
                synchronized (this) {
                    if (seq == told && !first) {
                        try {
                            wait(2000);
                        } catch (final InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    }
                    line = seq == told ? "" : whole();
                    told = seq;
                    first = false;
                }
                conn.raw(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** A client's connection. */
    static final class Client implements Closeable {
        final Socket socket;
        final InputStream in;

        Client(final int port) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, port), 1000);
            in = new java.io.BufferedInputStream(socket.getInputStream());
        }

        static byte[] message(
                final String id, final String kind, final long dest, final long timeoutMs, final byte[] body, final String more) {
            final byte[] head = ("POST /" + kind + " HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: " + id
                            + "\r\nX-Priority-Class: " + kind + "\r\nX-Timeout-Ms: " + timeoutMs + "\r\n" + more
                            + "Content-Length: " + body.length + "\r\nX-Consignee: dest=" + dest + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            final byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
            System.arraycopy(body, 0, all, head.length, body.length);
            return all;
        }

        void write(final byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        Http answer(final int withinMs) throws IOException {
            socket.setSoTimeout(withinMs);
            return read(in);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (final IOException e) {
                // Already closed.
            }
        }
    }

    /** A courier process, started by the run line of the deploy file. */
    static final class Courier implements Closeable {
        private static final List<Courier> ALL = new CopyOnWriteArrayList<>();

        static {
            // Also when the script itself is told to end.
            Runtime.getRuntime().addShutdownHook(new Thread(Courier::closeAll));
        }

        final Process process;
        /** Port of its second address; 0 if it has none. */
        final int mgmt;

        final List<String> log = new CopyOnWriteArrayList<>();

        Courier(
                final Path root,
                final Path folder,
                final Path config,
                final Map<String, String> environment,
                final Path logFile,
                final int mgmt)
                throws IOException {
            this.mgmt = mgmt;
            final Matcher run = Pattern.compile("(?m)^run\\s*=\\s*\"(.*)\"\\s*$")
                    .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
            if (!run.find()) {
                throw new IOException("no run line");
            }
            final ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).redirectErrorStream(true);
            builder.directory(root.toFile());
            builder.environment().put("PROXY_CONFIG", config.toString());
            builder.environment().put("PROXY_STATE", folder.resolve("state").toString());
            builder.environment().put("TMPDIR", folder.resolve("tmp").toString());
            builder.environment().putAll(environment);
            process = builder.start();
            ALL.add(this);
            final java.io.BufferedReader lines =
                    new java.io.BufferedReader(new java.io.InputStreamReader(process.getInputStream()));
            daemon(() -> lines.lines().forEach(line -> {
                log.add(line);
                try {
                    Files.writeString(
                            logFile,
                            line + "\n",
                            java.nio.file.StandardOpenOption.CREATE,
                            java.nio.file.StandardOpenOption.APPEND);
                } catch (final IOException e) {
                    // The log is only for the reader.
                }
            }));
        }

        boolean logged(final String text) {
            return log.stream().anyMatch(line -> line.contains(text));
        }

        void signal(final String name) throws IOException {
            try {
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        boolean ends(final long withinMs) {
            try {
                return process.waitFor(withinMs, TimeUnit.MILLISECONDS);
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }

        static boolean isUp(final int port) {
            try (Client client = new Client(port)) {
                client.write("GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n"
                        .getBytes(StandardCharsets.ISO_8859_1));
                return client.answer(1000).status() == 200;
            } catch (final IOException e) {
                return false;
            }
        }

        static boolean awaitUp(final int port, final long withinMs) {
            final double until = ms() + withinMs;
            while (ms() < until) {
                if (isUp(port)) {
                    return true;
                }
                sleep(20);
            }
            return false;
        }

        @Override
        public void close() {
            process.destroyForcibly();
            ends(5000);
        }

        static void closeAll() {
            ALL.forEach(Courier::close);
        }
    }

    /** Deletes a temporary folder with its content. */
    static void delete(final Path folder) {
        try (java.util.stream.Stream<Path> all = Files.walk(folder)) {
            all.sorted(java.util.Comparator.reverseOrder()).forEach(one -> one.toFile().delete());
        } catch (final IOException e) {
            // It lies in the system's temporary folder.
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    /** One line to the management address. */
    static String command(final int port, final String line) throws IOException {
        try (Client client = new Client(port)) {
            client.write((line + "\n").getBytes(StandardCharsets.ISO_8859_1));
            client.socket.setSoTimeout(2000);
            return readLine(client.in);
        }
    }

    /** Settings like those of puntarenas-main; {@code apart} for kinds whose endpoints are separate routes. */
    static String config(
            final String name,
            final int port,
            final int mgmt,
            final String discovery,
            final String known,
            final boolean apart,
            final String classes) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\"," + (mgmt > 0 ? "\"mgmt\":\"127.0.0.1:" + mgmt + "\"," : "")
                + "\"discovery\":\"" + discovery + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3},"
                + "\"known\":" + known + ","
                + "\"settings\":{\"balancers\":2,\"me\":0,\"my_zone\":\"puntarenas\",\"localities\":[\"puntarenas\"],\"weights\":\"rough\","
                + "\"discovery\":\"pushed\",\"value_by\":\"request\",\"family\":\"deliver\",\"classes\":" + classes + ","
                + "\"flavors\":[\"big-agent\",\"small-partner\"],"
                + "\"extra\":{\"calls_out\":21,\"per_call\":[10,1],\"routes_apart\":[" + apart + "," + apart + "],\"fades\":\"linear\"},"
                + "\"guarantees\":{\"must_ask_in\":10000000,\"cold\":9300000,\"cold_from\":0.14,\"fall\":3000000,"
                + "\"grace_to_answer\":20000,\"stop_sending_within\":250000,\"tip_multiple\":2.5},"
                + "\"limits\":{\"max_open\":162,\"most_tries\":6,\"cancel\":true,\"idle_close\":10000000,"
                + "\"connect_timeout\":1500000,\"multiplex\":1,\"retry_after\":true,\"max_retry_after\":2000000,"
                + "\"may_probe\":false,\"may_tell\":true,\"parallel_tries\":false}}}";
    }

    static final String CLASSES =
            "[{\"name\":\"chart-notice\",\"effect\":\"pure\",\"points\":1.0,\"late_worth\":0.4,\"target\":2000000,\"deadline\":24000000},"
                    + "{\"name\":\"licence-order\",\"effect\":\"side_effect\",\"points\":1.0,\"late_worth\":0.4,\"target\":3000000,\"deadline\":24000000}]";
}
