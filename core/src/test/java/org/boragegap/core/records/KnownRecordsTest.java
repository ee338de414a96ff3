package org.boragegap.core.records;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** What a controller may state about a job that it refuses. */
final class KnownRecordsTest {
    private static final String JOB = "job";
    private static final long WINDOW_MS = KnownRecords.RETURN_WINDOW_MS;
    private static final long BEGAN_MS = 100_000;

    private final KnownRecords mRecords = KnownRecords.create();

    private void begin(String... peers) {
        mRecords.termBegan(List.of(), RecordSender.UNLIMITED_MS, EarlierTerm.NONE, BEGAN_MS);
        mRecords.membersListed(Set.of(peers), BEGAN_MS, BEGAN_MS + 2);
    }

    private void receive(long ms, String peer, long coveredMs, String... jobs) {
        receive(ms, peer, coveredMs, EarlierTerm.NONE, jobs);
    }

    private void receive(
            long ms, String peer, long coveredMs, EarlierTerm lastTerm, String... jobs) {
        RecordFrame frame = new RecordFrame(1, coveredMs, lastTerm, 0, 1, List.of(jobs));
        mRecords.received(peer, frame, ms);
    }

    /** One of two frames of a process. */
    private void receiveOneOfTwo(int process, int number) {
        RecordFrame frame =
                new RecordFrame(process, WINDOW_MS, EarlierTerm.NONE, number, 2, List.of());
        mRecords.received("a", frame, BEGAN_MS);
    }

    private RefusalBasis basis(long ms) {
        return mRecords.basis(JOB, ms);
    }

    @Nested
    final class OfRunningVms {
        /** Guards against a refusal of a job that another VM has offered to an earlier term. */
        @Test
        void aRecordedJobMayHaveStarted() {
            begin("a");
            receive(BEGAN_MS + 5, "a", WINDOW_MS, JOB);
            assertThat(basis(BEGAN_MS + 6)).isEqualTo(RefusalBasis.MAY_HAVE_STARTED);
        }

        /** Guards against jobs in doubt after a change of the controller without any loss. */
        @Test
        void aJobInNoRecordHasNotStarted() {
            begin("a", "b");
            mRecords.offered(JOB, BEGAN_MS + 3);
            receive(BEGAN_MS + 5, "a", WINDOW_MS + 5);
            receive(BEGAN_MS + 6, "b", RecordSender.UNLIMITED_MS, "other");
            assertThat(basis(BEGAN_MS + 7)).isEqualTo(RefusalBasis.NOT_STARTED);
        }

        /** Guards against a refusal while the records that name the job are under way. */
        @Test
        void recordsAreIncompleteUntilAllHaveArrived() {
            begin("a", "b");
            receive(BEGAN_MS + 5, "a", WINDOW_MS);
            assertThat(basis(BEGAN_MS + 20_000)).isEqualTo(RefusalBasis.RECORDS_INCOMPLETE);
        }

        /** Guards against records that count as complete when only some frames have arrived. */
        @Test
        void allFramesAreNeeded() {
            begin("a");
            receiveOneOfTwo(1, 1);
            assertThat(mRecords.isComplete(BEGAN_MS + 5)).isFalse();
            receiveOneOfTwo(1, 0);
            assertThat(mRecords.isComplete(BEGAN_MS + 5)).isTrue();
        }

        /** Guards against the frames of two processes at one address that count as one list. */
        @Test
        void framesOfAnEarlierProcessDontCount() {
            begin("a");
            receiveOneOfTwo(1, 1);
            receiveOneOfTwo(2, 0);
            assertThat(mRecords.isComplete(BEGAN_MS + 5)).isFalse();
        }

        /** Guards against a list of members read before the term, which lacks a VM of then. */
        @Test
        void theMembersHaveToBeReadInTheTerm() {
            mRecords.termBegan(List.of(), RecordSender.UNLIMITED_MS, EarlierTerm.NONE, BEGAN_MS);
            mRecords.membersListed(Set.of(), BEGAN_MS - 1, BEGAN_MS + 2);
            assertThat(mRecords.isComplete(BEGAN_MS + 3)).isFalse();
        }
    }

    @Nested
    final class OfLostVms {
        /** Guards against a refusal of a job whose only records were lost with their VM. */
        @Test
        void recordsAreIncompleteUntilCallersOfALostVmHaveReturned() {
            mRecords.membersListed(Set.of("a"), BEGAN_MS - 3_000, BEGAN_MS - 3_000);
            begin();
            long lostMs = BEGAN_MS + 2;
            assertThat(mRecords.isComplete(lostMs + WINDOW_MS - 1)).isFalse();
            assertThat(mRecords.isComplete(lostMs + WINDOW_MS)).isTrue();
        }

        /** The caller of a lost VM came back in time; its job is refused after a long wait. */
        @Test
        void aJobOfferedWhileRecordsWereMissingStaysInDoubt() {
            mRecords.membersListed(Set.of("a"), BEGAN_MS - 3_000, BEGAN_MS - 3_000);
            begin();
            mRecords.offered(JOB, BEGAN_MS + WINDOW_MS - 100);
            mRecords.offered("later", BEGAN_MS + WINDOW_MS + 10);
            long refusedMs = BEGAN_MS + WINDOW_MS + 500;
            assertThat(basis(refusedMs)).isEqualTo(RefusalBasis.RECORDS_INCOMPLETE);
            assertThat(mRecords.basis("later", refusedMs)).isEqualTo(RefusalBasis.NOT_STARTED);
        }

        /** Guards against a restarted VM that seems to have offered nothing. */
        @Test
        void theRecordsOfARestartedVmCountOnceItsProcessIsOldEnough() {
            begin("a");
            receive(BEGAN_MS + 5, "a", 4_000);
            assertThat(mRecords.isComplete(BEGAN_MS + WINDOW_MS - 4_000)).isFalse();
            assertThat(mRecords.isComplete(BEGAN_MS + WINDOW_MS - 3_990)).isTrue();
        }

        /** Guards against a controller that restarted itself and knows of no VMs lost before. */
        @Test
        void theControllersOwnProcessHasToBeOldEnough() {
            mRecords.membersListed(Set.of(), BEGAN_MS - 1_000, BEGAN_MS - 1_000);
            mRecords.termBegan(List.of(JOB), 1_000, EarlierTerm.NONE, BEGAN_MS);
            mRecords.membersListed(Set.of(), BEGAN_MS, BEGAN_MS + 2);
            assertThat(mRecords.isComplete(BEGAN_MS + WINDOW_MS - 1_001)).isFalse();
            assertThat(mRecords.isComplete(BEGAN_MS + WINDOW_MS - 1_000)).isTrue();
            assertThat(basis(BEGAN_MS + WINDOW_MS)).isEqualTo(RefusalBasis.MAY_HAVE_STARTED);
        }

        /** Guards against a loss after the delivery that makes complete records doubtful. */
        @Test
        void aVmThatIsLostOrRestartsAfterItsDeliveryDoesntMatter() {
            begin("a");
            receive(BEGAN_MS + 5, "a", WINDOW_MS);
            mRecords.membersListed(Set.of(), BEGAN_MS + 3_000, BEGAN_MS + 3_000);
            receive(BEGAN_MS + 4_000, "a", 10);
            assertThat(mRecords.isComplete(BEGAN_MS + 4_001)).isTrue();
        }
    }

    @Nested
    final class OfThePreviousController {
        private static final long FENCE = 7;

        /** A VM has restarted 4 s ago; the previous controller has served meanwhile. */
        private void restartedVmAndPredecessor(long heldAgoMs, long reliableAgoMs) {
            begin("a", "controller");
            receive(BEGAN_MS + 5, "a", 4_000);
            EarlierTerm term = new EarlierTerm(FENCE, heldAgoMs, reliableAgoMs);
            receive(BEGAN_MS + 6, "controller", WINDOW_MS, term);
        }

        /** Guards against doubt after each move of the cell during a rolling restart. */
        @Test
        void itMakesUpForAVmThatRestartedInItsTerm() {
            restartedVmAndPredecessor(3_900, RecordSender.UNLIMITED_MS);
            assertThat(mRecords.isComplete(BEGAN_MS + 7)).isTrue();
        }

        /** Guards against a term between the two, whose controller has restarted since. */
        @Test
        void itDoesntMakeUpForAVmThatRestartedAfterItsTerm() {
            restartedVmAndPredecessor(4_100, RecordSender.UNLIMITED_MS);
            assertThat(mRecords.isComplete(BEGAN_MS + 7)).isFalse();
        }

        /** Guards against a controller that didn't know itself what had started before its term. */
        @Test
        void itsOwnRecordsHaveToBeReliable() {
            restartedVmAndPredecessor(3_900, EarlierTerm.NEVER);
            assertThat(mRecords.isComplete(BEGAN_MS + 7)).isFalse();
        }

        /** The callers of a VM that was lost before its term may come back for 1 s more. */
        @Test
        void itsRecordsMayBecomeReliableLater() {
            restartedVmAndPredecessor(3_900, -1_000);
            assertThat(mRecords.isComplete(BEGAN_MS + 1_000)).isFalse();
            assertThat(mRecords.isComplete(BEGAN_MS + 1_006)).isTrue();
        }

        /** Guards against a later term whose controller started tasks and knows less. */
        @Test
        void theLastControllerCounts() {
            begin("a", "b", "controller");
            receive(BEGAN_MS + 5, "a", 4_000);
            receive(BEGAN_MS + 6, "b", WINDOW_MS, new EarlierTerm(8, 100, EarlierTerm.NEVER));
            EarlierTerm earlier = new EarlierTerm(FENCE, 3_900, RecordSender.UNLIMITED_MS);
            receive(BEGAN_MS + 6, "controller", WINDOW_MS, earlier);
            assertThat(mRecords.isComplete(BEGAN_MS + 7)).isFalse();
        }

        /** Guards against what it knew of others that gets lost with them. */
        @Test
        void itPassesOnWhatItHasLearnt() {
            mRecords.membersListed(Set.of("lost"), BEGAN_MS - 3_000, BEGAN_MS - 3_000);
            begin("a");
            receive(BEGAN_MS + 5, "a", WINDOW_MS, "recorded");
            mRecords.offered("unknown", BEGAN_MS + 6);
            List<String> passedOn =
                    mRecords.mayHaveStartedSince(BEGAN_MS, mRecords.reliableFromMs());
            assertThat(passedOn).containsExactly("recorded", "unknown");
        }
    }
}
