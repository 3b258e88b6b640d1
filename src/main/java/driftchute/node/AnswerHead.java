package driftchute.node;

import driftchute.Courier;
import driftchute.Courier.Result;
import driftchute.node.EndpointClient.MessageOutcome;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.util.regex.Pattern;

/** What the head of an answer says about its call (PROTOCOL-irishead.md, Couriers to endpoints). */
record AnswerHead(HttpResponse response) {
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private static final double US_PER_SECOND = 1_000_000;
    /** A number in an answer: no sign, exponent or word. */
    private static final Pattern NUMBER = Pattern.compile("\\d{1,12}(\\.\\d{1,18})?");
    /**
     * Upper bounds for reported waits (an hour) and limits (a million calls per second). Higher values are not
     * believed.
     */
    private static final double MAX_WAIT_SECONDS = 3600;

    private static final double MAX_RATE = 1e6;
    private static final double MAX_UNUSED_SHARE = 2;

    int status() {
        return response.status().code();
    }

    /** False for an interim answer, behind which another one follows. */
    boolean isFinal() {
        return status() >= FIRST_FINAL_STATUS;
    }

    boolean isOk() {
        return status() == OK;
    }

    /** The wait that the answer asks for, in seconds with decimals, as us; 0 if there is none or it cannot be parsed. */
    long waitUs() {
        final double seconds = parseNumber(response.headers().get(HttpHeaderNames.RETRY_AFTER));
        return seconds >= 0 ? (long) Math.ceil(Math.min(seconds, MAX_WAIT_SECONDS) * US_PER_SECOND) : 0;
    }

    /** The outcome of a call with one message. */
    MessageOutcome outcome() {
        return switch (status()) {
            case OK -> outcome(Result.DELIVERED, true);
            case TOO_MANY_REQUESTS -> outcome(Result.REFUSED, false);
            case UNAVAILABLE -> outcome(isLineBusy() ? Result.NOT_SENT : Result.REFUSED, false);
            case GATEWAY_TIMEOUT -> outcome(Result.NOT_SENT, false);
            case GONE -> outcome(Result.NOT_SENT, true);
            default -> outcome(Result.ERROR, false);
        };
    }

    /**
     * The outcome of each message of a call with several, unless the status is 200 and the body says so. 410 and 504
     * answer single messages only, so to several they prove nothing.
     */
    MessageOutcome outcomeOfEach() {
        return status() == GONE || status() == GATEWAY_TIMEOUT ? outcome(Result.ERROR, false) : outcome();
    }

    /** An outcome with the wait and the limit that the head reports. */
    MessageOutcome outcome(final Result result, final boolean isFinal) {
        return new MessageOutcome(result, isFinal, waitUs(), reportedLimit());
    }

    private boolean isLineBusy() {
        return "1".equals(response.headers().get("X-Line-Busy"));
    }

    /** The limit that a destination reported; null if it reported none, or none that can be parsed. */
    private Courier.ReportedLimit reportedLimit() {
        final String report = response.headers().get("X-Server-Load");
        if (report == null) {
            return null;
        }
        double unusedShare = -1;
        double callsPerSecond = -1;
        for (final String field : report.split(",")) {
            final String value = field.substring(field.indexOf('=') + 1);
            if (field.trim().startsWith("x0=")) {
                unusedShare = parseNumber(value);
            } else if (field.trim().startsWith("x1=")) {
                callsPerSecond = parseNumber(value);
            }
        }
        // A share slightly above one is noise; far above it is invalid.
        final boolean valid = unusedShare >= 0
                && unusedShare <= MAX_UNUSED_SHARE
                && callsPerSecond >= 0
                && callsPerSecond <= MAX_RATE;
        return valid ? new Courier.ReportedLimit(Math.min(1, unusedShare), callsPerSecond) : null;
    }

    /** A number in an answer, or -1 if there is none. */
    private static double parseNumber(final String text) {
        return text != null && NUMBER.matcher(text.trim()).matches() ? Double.parseDouble(text.trim()) : -1;
    }
}
