package driftchute.drill;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The command line of a relay for fault drills: {@code drill tcp|udp --to HOST:PORT [--seed N]}. It prints one JSON
 * line with the address to use instead of {@code --to}, then reads one {@link Fault} per line from standard input
 * ({@code delay 200}, {@code reset}, {@code pass}, ...) and answers {@code OK} or {@code ERR} with a reason. It ends
 * when standard input does. A wrong command line gives one line and exit code 2.
 */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        subcommands = {Drill.Tcp.class, Drill.Udp.class},
        description = "Relays TCP or UDP on loopback; faults are set by lines on standard input.")
public final class Drill {
    private Drill() {}

    /** Runs the command line; its exit code is the process's. */
    public static void main(final String[] args) {
        System.exit(new CommandLine(new Drill()).execute(args));
    }

    /** Parses the address of {@code --to}. */
    static InetSocketAddress address(final String text) {
        final int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new CommandLine.TypeConversionException("not HOST:PORT: '" + text + "'");
        }
        try {
            return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (final IllegalArgumentException e) {
            throw new CommandLine.TypeConversionException("not HOST:PORT: '" + text + "'");
        }
    }

    /** Reads faults until standard input ends. */
    static int readFaults(final java.util.function.Consumer<Fault> relay) throws java.io.IOException {
        final BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.isBlank()) {
                continue;
            }
            try {
                relay.accept(Fault.parse(line));
                System.out.println("OK");
            } catch (final IllegalArgumentException e) {
                System.out.println("ERR " + e.getMessage());
            }
        }
        return 0;
    }

    /** Options of both kinds of relay. */
    static class Common {
        @Option(names = "--to", required = true, description = "HOST:PORT that the relay forwards to")
        String to;

        @Option(names = "--seed", defaultValue = "1", description = "selects what a fraction affects")
        long seed;
    }

    @Command(name = "tcp", mixinStandardHelpOptions = true, description = "Relays TCP connections.")
    static final class Tcp extends Common implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            try (TcpRelay relay = new TcpRelay(address(to), seed)) {
                System.out.println("{\"event\":\"relay\",\"kind\":\"tcp\",\"listen\":\"" + relay.address() + "\"}");
                return readFaults(relay::set);
            }
        }
    }

    @Command(name = "udp", mixinStandardHelpOptions = true, description = "Relays UDP datagrams.")
    static final class Udp extends Common implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            try (UdpRelay relay = new UdpRelay(address(to), seed)) {
                System.out.println(
                        "{\"event\":\"relay\",\"kind\":\"udp\",\"listen\":\"127.0.0.1:" + relay.port() + "\"}");
                return readFaults(relay::set);
            }
        }
    }
}
