package driftchute.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.util.internal.OutOfDirectMemoryError;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * The log on standard error: one JSON object per line for each event that matters to an operator or a checker; events of
 * single messages are limited ({@link ClientEventLog}). Every line has {@code t_ms} (Unix time, ms), {@code mono_us} (this process's monotonic clock, us, to
 * order its own lines), {@code proc} (the configured name, {@code "-"} before it is read) and {@code event}; free text
 * is in {@code msg}. A failure's stack trace follows its line as plain text.
 */
final class Log {
    private static final int FATAL_EXIT_CODE = 70;
    private static final long NS_PER_US = 1000;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static volatile String processName = "-";

    private Log() {}

    /** Sets the process name for subsequent lines. */
    static void setProcessName(final String process) {
        processName = process;
    }

    /**
     * Redirects the libraries' log lines to this log. The JDK's console handler loads the time zones from a file, and
     * if no descriptor is available for that, the thread that wrote the line ends.
     */
    static void redirectLibraryLogs() {
        LogManager.getLogManager().reset();
        final Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        root.addHandler(new Handler() {
            @Override
            public void publish(final LogRecord line) {
                event(
                        "library",
                        "msg",
                        line.getMessage(),
                        "logger",
                        line.getLoggerName(),
                        "cause",
                        String.valueOf(line.getThrown()));
            }

            @Override
            public void flush() {
                // Each line is written at once.
            }

            @Override
            public void close() {
                // Standard error stays open.
            }
        });
    }

    static void info(final String text) {
        event("note", "msg", text);
    }

    /**
     * Writes a structured line. {@code fields} alternates names and values (strings, numbers, booleans).
     *
     * @throws IllegalArgumentException if the fields do not come in pairs
     */
    static void event(final String event, final Object... fields) {
        if (fields.length % 2 != 0) {
            throw new IllegalArgumentException("fields must come in pairs: " + fields.length);
        }
        final Map<String, Object> line = new LinkedHashMap<>();
        line.put("t_ms", System.currentTimeMillis());
        line.put("mono_us", System.nanoTime() / NS_PER_US);
        line.put("proc", processName);
        line.put("event", event);
        for (int i = 0; i < fields.length; i += 2) {
            line.put(String.valueOf(fields[i]), fields[i + 1]);
        }
        String text;
        try {
            text = JSON.writeValueAsString(line);
        } catch (final JsonProcessingException e) {
            text = "{\"event\":\"" + event + "\",\"unwritable\":true}";
        }
        System.err.println(text);
    }

    /**
     * Logs an unexpected exception with its stack trace. An error of the virtual machine ends the process; a buffer that
     * Netty could not allocate concerns one connection only, which its caller closes.
     */
    static void failure(final String what, final Throwable cause) {
        event("failure", "msg", what, "cause", String.valueOf(cause));
        if (cause instanceof OutOfDirectMemoryError) {
            return;
        }
        cause.printStackTrace();
        if (cause instanceof VirtualMachineError) {
            // After that nothing can be trusted, so the process ends; the next one resumes.
            Runtime.getRuntime().halt(FATAL_EXIT_CODE);
        }
    }
}
