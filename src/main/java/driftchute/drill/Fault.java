package driftchute.drill;

import java.util.Locale;

/**
 * What a relay does to its traffic; can be changed while it runs. Parsed from one line as typed by an operator: {@code
 * pass}, {@code delay MS}, {@code drop FRACTION}, {@code reset}, {@code blackhole}, {@code halfclose}; for datagrams
 * also {@code loss FRACTION}, {@code duplicate FRACTION}, {@code reorder FRACTION}. These are the faults of a real
 * network according to PROTOCOL-irishead.md, section The network.
 *
 * @param kind the kind of fault
 * @param delayMs delay of each piece, ms (0 or more)
 * @param fraction the affected share of pieces (TCP reads, datagrams), 0 to 1
 */
public record Fault(Kind kind, long delayMs, double fraction) {
    /** The kinds of fault. Parsed by name. */
    public enum Kind {
        PASS,
        DELAY,
        DROP,
        RESET,
        BLACKHOLE,
        HALFCLOSE,
        LOSS,
        DUPLICATE,
        REORDER
    }

    /** Passes everything unchanged. */
    public static final Fault PASS = new Fault(Kind.PASS, 0, 0);

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException for a negative delay or a fraction outside 0 to 1
     */
    public Fault {
        if (delayMs < 0 || !(fraction >= 0 && fraction <= 1)) {
            throw new IllegalArgumentException(
                    "a delay is 0 ms or more and a fraction 0 to 1: " + delayMs + ", " + fraction);
        }
    }

    /**
     * Parses one line, such as {@code delay 200} or {@code loss 0.2}.
     *
     * @throws IllegalArgumentException with the reason, for an unknown word or a missing or invalid number
     */
    public static Fault parse(final String line) {
        final String[] words = line.trim().split("\\s+");
        final Kind kind;
        try {
            kind = Kind.valueOf(words[0].toUpperCase(Locale.ROOT));
        } catch (final IllegalArgumentException e) {
            throw new IllegalArgumentException("no such fault: '" + words[0] + "'", e);
        }
        final boolean takesNumber = kind == Kind.DELAY
                || kind == Kind.DROP
                || kind == Kind.LOSS
                || kind == Kind.DUPLICATE
                || kind == Kind.REORDER;
        if (takesNumber != (words.length == 2) || words.length > 2) {
            throw new IllegalArgumentException("'" + words[0] + "' takes " + (takesNumber ? "one figure" : "none"));
        }
        try {
            return kind == Kind.DELAY
                    ? new Fault(kind, Long.parseLong(words[1]), 0)
                    : new Fault(kind, 0, takesNumber ? Double.parseDouble(words[1]) : 0);
        } catch (final NumberFormatException e) {
            throw new IllegalArgumentException("not a figure: '" + words[1] + "'", e);
        }
    }
}
