package driftchute.node;

/** What may happen to a client's connection or request besides its acceptance; counted and logged by its log name. */
enum ClientEvent {
    /** The connection was idle for too long. */
    CLOSED_IDLE("closed_idle"),
    /** The client did not read its answers. */
    CLOSED_NOT_READING("closed_not_reading"),
    /** There were too many connections, or no descriptor was left. */
    CLOSED_FOR_CAPACITY("closed_for_capacity"),
    /** The client closed or reset the connection before it had all its answers. */
    CLOSED_BY_CLIENT("closed_by_client"),
    /** The connection failed with an exception of this process. */
    CLOSED_BY_FAILURE("closed_by_failure"),
    /** The answer that ended the connection was sent. */
    CLOSED_AFTER_ANSWER("closed_after_answer"),
    /** The process exits. */
    CLOSED_AT_EXIT("closed_at_exit"),
    /** The request did not arrive completely in time. */
    REJECTED_TOO_SLOW("rejected_too_slow"),
    /** The request is malformed, too large, or not one of this protocol. */
    REJECTED_UNSOUND("rejected_unsound"),
    /** The memory for requests that are still arriving is used up. */
    REFUSED_NO_MEMORY("refused_no_memory"),
    /** More requests follow at once than can be read ahead, so the client may have left. */
    REFUSED_READ_AHEAD("refused_read_ahead"),
    /** The process exits, or the connection already carried a request that is not trusted. */
    REFUSED_CLOSING("refused_closing"),
    /** A message with that id is open or was accepted shortly before. */
    REFUSED_REPEATED_ID("refused_repeated_id"),
    /** The decisions refused the message, or the store is full. */
    REFUSED_MESSAGE("refused_message"),
    /** The decisions failed the message. */
    FAILED_MESSAGE("failed_message"),
    /** The client left before it had its answer. */
    WITHDRAWN("withdrawn"),
    /** A call ended without an outcome that ends its message, which may be sent again. */
    CALL_TO_RETRY("call_to_retry");

    private final String logName;

    ClientEvent(final String logName) {
        this.logName = logName;
    }

    /** The name in the log. */
    String logName() {
        return logName;
    }
}
