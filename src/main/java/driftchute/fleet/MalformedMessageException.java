package driftchute.fleet;

/** Thrown for a message whose bytes are invalid. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param reason what is wrong with the message
     */
    public MalformedMessageException(final String reason) {
        super(reason);
    }
}
