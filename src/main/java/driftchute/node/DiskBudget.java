package driftchute.node;

/**
 * Divides the limit of the state folder ({@code disk_mb}, DEPLOY-irishead.md) among the files in it. All sizes are in
 * bytes. A file that is replaced by a new one counts twice meanwhile. Some files are counted in whole blocks; that and
 * the small files (locks, incarnation, discovery) use what is not assigned here.
 */
record DiskBudget(long limitBytes) {
    /** Disk usage is counted in blocks of this many bytes (DEPLOY-irishead.md). */
    static final long BLOCK_BYTES = 512;

    private static final double JOURNALS_SHARE = 0.76;
    private static final double JOURNAL_FILE_SHARE = 0.4;
    private static final double RECOVERY_SHARE = 0.88;
    private static final double OPEN_MESSAGES_SHARE = 0.21;
    private static final double ENDING_GROWTH_SHARE = 0.08;
    private static final double OUTCOME_RECORDS_SHARE = 0.03;
    private static final double COMPACTION_GAIN_SHARE = 0.03;
    private static final double RESERVED_IDS_SHARE = 0.03;
    private static final double UNREPEATABLE_IDS_SHARE = 0.04;
    private static final double BAD_RECORDS_SHARE = 0.04;
    private static final double LIST_SHARE = 0.05;
    private static final double ORDERS_SHARE = 0.03;

    /** The journals of all processes together, with the file that a compaction writes. */
    long journals() {
        return share(JOURNALS_SHARE);
    }

    /** The same while a start takes over several files. Nothing else is replaced meanwhile. */
    long recovery() {
        return share(RECOVERY_SHARE);
    }

    /** One journal file, even if there is space for a larger one. */
    long journalFile() {
        return share(JOURNAL_FILE_SHARE);
    }

    /** The open messages of a courier, without the ids and completions in a file. */
    long openMessages() {
        return share(OPEN_MESSAGES_SHARE);
    }

    /** What an ending process may append after it has handed over. */
    long endingGrowth() {
        return share(ENDING_GROWTH_SHARE);
    }

    /** Space kept for the attempts and outcomes of messages while an earlier process's file is still there. */
    long outcomeRecords() {
        return share(OUTCOME_RECORDS_SHARE);
    }

    /** Space that a compaction has to free, so that it is not needed again at once. */
    long compactionGain() {
        return share(COMPACTION_GAIN_SHARE);
    }

    /** The reserved ids in one journal file. */
    long reservedIds() {
        return share(RESERVED_IDS_SHARE);
    }

    /** The ids of messages that may not take effect twice, in one journal file. */
    long unrepeatableIds() {
        return share(UNREPEATABLE_IDS_SHARE);
    }

    /** The copy of records that failed their check. */
    long badRecords() {
        return share(BAD_RECORDS_SHARE);
    }

    /** The stored list. It is replaced atomically, which takes twice as much. */
    long list() {
        return share(LIST_SHARE);
    }

    /** The operators' orders. They are replaced atomically, which takes twice as much. */
    long orders() {
        return share(ORDERS_SHARE);
    }

    private long share(final double part) {
        return (long) (part * limitBytes);
    }
}
