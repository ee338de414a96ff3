package org.boragegap.core.records;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.Test;

/** The records that a VM sends to the controller of a new term. */
final class RecordSenderTest {
    private static final long FENCE = 7;
    private static final long NONE_EVICTED = Long.MIN_VALUE;

    private final RecordSender mSender = RecordSender.create(new ClockReading(1_000, 500_000));

    private static List<String> jobs(int count, int length) {
        return IntStream.range(0, count)
                .mapToObj(number -> String.format("%0" + length + "d", number))
                .toList();
    }

    /** Guards against a frame that grows with the load and delays the heartbeats behind it. */
    @Test
    void framesAreBoundedAndContainAllJobs() {
        for (int length : new int[] {16, 64, 10_000}) {
            List<String> jobs = jobs(1_000, length);
            List<String> sent = new ArrayList<>();
            for (List<String> frame : RecordSender.split(jobs)) {
                int chars = frame.stream().mapToInt(String::length).sum();
                assertThat(frame.size()).isAtMost(RecordSender.MAX_JOBS);
                assertThat(chars).isAtMost(Math.max(length, RecordSender.MAX_CHARS));
                sent.addAll(frame);
            }
            assertThat(sent).isEqualTo(jobs);
        }
    }

    /** Guards against a VM without records that the controller would wait for. */
    @Test
    void aVmWithoutJobsSendsOneEmptyFrame() {
        mSender.termHeard(FENCE, List.of(), NONE_EVICTED);
        List<RecordFrame> frames = mSender.unacknowledged(FENCE, EarlierTerm.NONE, 3_000);
        assertThat(frames)
                .containsExactly(
                        new RecordFrame(500_000, 2_000, EarlierTerm.NONE, 0, 1, List.of()));
    }

    /** Guards against a lost frame, and against traffic while terms don't change. */
    @Test
    void eachFrameIsSentUntilItIsAcknowledged() {
        mSender.termHeard(FENCE, jobs(300, 16), NONE_EVICTED);
        assertThat(mSender.unacknowledged(FENCE, EarlierTerm.NONE, 3_000)).hasSize(2);
        mSender.acknowledged(FENCE - 1, 1);
        mSender.acknowledged(FENCE, 0);
        List<RecordFrame> left = mSender.unacknowledged(FENCE, EarlierTerm.NONE, 3_000);
        assertThat(left.stream().map(RecordFrame::number).toList()).containsExactly(1);
        mSender.acknowledged(FENCE, 1);
        assertThat(mSender.unacknowledged(FENCE, EarlierTerm.NONE, 3_000)).isEmpty();
        assertThat(mSender.unacknowledged(FENCE - 1, EarlierTerm.NONE, 3_000)).isEmpty();
    }

    /** Guards against records from which recent jobs were dropped that count as whole. */
    @Test
    void recordsReachBackToTheStartOrTheLatestEviction() {
        assertThat(mSender.coveredMs(NONE_EVICTED, 3_000)).isEqualTo(2_000);
        assertThat(mSender.coveredMs(2_500, 3_000)).isEqualTo(500);
        mSender.firstStart();
        assertThat(mSender.coveredMs(NONE_EVICTED, 3_000)).isEqualTo(RecordSender.UNLIMITED_MS);
        assertThat(mSender.coveredMs(2_500, 3_000)).isEqualTo(500);
    }
}
