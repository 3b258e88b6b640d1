package driftchute.fleet;

/** A message whose bytes mean nothing. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** @param reason what is wrong with it */
    public MalformedMessageException(final String reason) {
        super(reason);
    }
}
