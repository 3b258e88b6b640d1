package driftchute.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One courier run as by its deploy file ({@code run} of deploy/balancer.toml, without {@code exec}), with its own
 * folder for state, temporary files and configuration, and one listening port kept across its restarts.
 */
final class CourierProcess implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern RUN = Pattern.compile("^run\\s*=\\s*\"(.*)\"\\s*$", Pattern.MULTILINE);
    final String name;
    final int port;
    private final ReservedPort reserved;
    /** The output of all its processes, one line each, in order. */
    final List<String> log = new CopyOnWriteArrayList<>();

    private final Path folder;
    private String config;
    private Process process;

    CourierProcess(final String name, final Path folder, final String config) throws IOException {
        this.name = name;
        this.folder = Files.createDirectories(folder);
        this.reserved = new ReservedPort();
        this.port = reserved.number();
        this.config = config.replace("$LISTEN", "127.0.0.1:" + port).replace("$NAME", name);
        Files.createDirectories(folder.resolve("tmp"));
    }

    private CourierProcess(final CourierProcess before) {
        this.name = before.name;
        this.reserved = before.reserved;
        this.port = before.port;
        this.folder = before.folder;
        this.config = before.config;
    }

    /** The same courier once more, for an upgrade: with its own process and log, otherwise identical. */
    CourierProcess beside() {
        return new CourierProcess(this);
    }

    /** Replaces a part of the configuration that it is started with. */
    void configure(final String part, final String by) {
        assertTrue(config.contains(part), part);
        config = config.replace(part, by);
    }

    /** Its peak resident memory, bytes; 0 if it is gone. */
    long peakMemoryBytes() {
        return memoryBytes("VmHWM:");
    }

    /** Its present resident memory, bytes; 0 if it is gone. */
    long residentMemoryBytes() {
        return memoryBytes("VmRSS:");
    }

    private long memoryBytes(final String field) {
        try {
            return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                    .filter(line -> line.startsWith(field))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) << 10)
                    .findFirst()
                    .orElse(0);
        } catch (final IOException e) {
            return 0;
        }
    }

    /** Sends a command to its management address, and reads the answer line. */
    String call(final String line) throws IOException {
        final String told = log.stream()
                .filter(one -> one.contains("the second address is"))
                .findFirst()
                .orElseThrow();
        try (Socket socket = new Socket("127.0.0.1", Integer.parseInt(told.replaceFirst(".*:(\\d+).*", "$1")))) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Fleet.PATIENCE_S));
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.ISO_8859_1));
            return driftchute.node.FakeServer.line(socket.getInputStream());
        }
    }

    /** The run line of the deploy file, split into words. */
    static List<String> runLine() throws IOException {
        final Matcher run = RUN.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        assertTrue(run.find(), "deploy/balancer.toml names no run line");
        final List<String> words = new ArrayList<>(List.of(run.group(1).trim().split("\\s+")));
        if (words.get(0).equals("exec")) {
            words.remove(0);
        }
        return words;
    }

    /** Starts a process on the folder and reads its output. */
    void start(final String discovery) throws IOException {
        start(discovery, List.of());
    }

    /** The same, by a program that replaces itself by the run line. */
    void start(final String discovery, final List<String> starter) throws IOException {
        final Path file = folder.resolve("config.json");
        Files.writeString(file, config.replace("$DISCOVERY", discovery));
        final List<String> words = new ArrayList<>(starter);
        words.addAll(runLine());
        final ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true);
        final Map<String, String> environment = builder.environment();
        environment.put("PROXY_CONFIG", file.toString());
        environment.put("PROXY_DISCOVERY", discovery);
        environment.put("PROXY_STATE", folder.resolve("state").toString());
        environment.put("TMPDIR", folder.resolve("tmp").toString());
        process = builder.start();
        final BufferedReader out =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        final Thread reader = new Thread(() -> out.lines().forEach(log::add), name + "-log");
        reader.setDaemon(true);
        reader.start();
    }

    /** {@code GET /up} answers 200. */
    boolean isUp() {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(2));
            socket.getOutputStream()
                    .write("GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            return driftchute.node.FakeServer.line(socket.getInputStream()).startsWith("HTTP/1.1 200");
        } catch (final IOException e) {
            return false;
        }
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Sends a signal by name ({@code KILL}, {@code TERM}, {@code STOP}, {@code CONT}, {@code HUP}) to the pid. */
    void signal(final String signal) throws IOException, InterruptedException {
        final Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
        assertTrue(kill.waitFor(Fleet.PATIENCE_S, TimeUnit.SECONDS) && kill.exitValue() == 0, "kill -" + signal);
    }

    /** Sends SIGKILL, and waits until the process is gone. */
    void kill() throws IOException, InterruptedException {
        signal("KILL");
        assertTrue(process.waitFor(Fleet.PATIENCE_S, TimeUnit.SECONDS), name + " outlived SIGKILL");
    }

    /** The structured lines that it logged with that event. */
    List<JsonNode> events(final String event) {
        final List<JsonNode> found = new ArrayList<>();
        for (final String line : log) {
            if (line.startsWith("{")) {
                try {
                    final JsonNode node = JSON.readTree(line);
                    if (event.equals(node.path("event").asText())) {
                        found.add(node);
                    }
                } catch (final IOException e) {
                    // A line of another kind: a stack trace, or the reason of a refused start.
                }
            }
        }
        return found;
    }

    /** Its state for a failure message: whether it is running or how it ended, and its last lines. */
    String state() {
        final List<String> lines = List.copyOf(log);
        return name
                + (process == null
                        ? " was not started"
                        : process.isAlive() ? " runs" : " ended, status " + process.exitValue())
                + "; its last lines:\n"
                + String.join("\n", lines.subList(Math.max(0, lines.size() - 20), lines.size()));
    }

    @Override
    public void close() {
        if (process != null) {
            process.toHandle().destroyForcibly();
            process.toHandle()
                    .onExit()
                    .orTimeout(Fleet.PATIENCE_S, TimeUnit.SECONDS)
                    .join();
        }
        reserved.close();
    }
}
