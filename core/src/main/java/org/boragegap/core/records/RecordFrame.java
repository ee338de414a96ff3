package org.boragegap.core.records;

import java.util.List;

/**
 * A part of the start records that one VM sends to the controller of a new term.
 *
 * @param process identifies the sender's process among those at its address
 * @param coveredMs how far back the sender's records are whole, in ms; {@link
 *     RecordSender#UNLIMITED_MS} if nothing ever ran before them
 * @param lastTerm the last term of the sender's own
 * @param number number of this frame, from 0
 * @param count number of frames
 * @param jobs ids of jobs that may have started in earlier terms
 */
public record RecordFrame(
        long process,
        long coveredMs,
        EarlierTerm lastTerm,
        int number,
        int count,
        List<String> jobs) {}
