package org.boragegap.core.records;

/**
 * The last term in which a VM started tasks, and how much its records cover. They contain all jobs
 * that started in the term, and those that the VM knew then to have started before.
 *
 * @param fence fencing token of the term; 0 if there was none
 * @param heldAgoMs how long ago the group last confirmed the term, in ms; no other controller can
 *     have started tasks between the beginning of the term and that time
 * @param reliableAgoMs for how long jobs that arrive have been in the records if they started
 *     before the term, in ms; {@link RecordSender#UNLIMITED_MS} if always, {@link #NEVER} if
 *     records of earlier terms were missing
 */
public record EarlierTerm(long fence, long heldAgoMs, long reliableAgoMs) {
    /** Value of {@link #reliableAgoMs} of a term that didn't get the records of all VMs. */
    public static final long NEVER = Long.MIN_VALUE;

    /** The VM has started nothing. */
    public static final EarlierTerm NONE = new EarlierTerm(0, 0, NEVER);
}
