package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Offers and answers of an entry VM for the jobs of its callers. */
final class PendingJobsTest {
    private static final String JOB = "00000000000000aa";
    private static final String OTHER_JOB = "00000000000000ab";

    private final PendingJobs mPendingJobs =
            PendingJobs.create(new HeartbeatTiming(), new ClockReading(0, 0));
    private long mNowMs = 1_000;

    private List<EntryAction> on(EntryEvent event) {
        List<EntryAction> actions = new ArrayList<>();
        mPendingJobs.on(event, new ClockReading(mNowMs, mNowMs), actions);
        actions.removeIf(EntryAction.Log.class::isInstance);
        return actions;
    }

    private static JobRequest request(String job) {
        StepRequest step = StepRequest.cpuOnly(1, 1_000, 100);
        return new JobRequest(job, "queue", "service", 0, 3, 1.6, 60, "", List.of(step), 1);
    }

    private List<EntryAction> submit(long ticket) {
        return submit(ticket, JOB);
    }

    private List<EntryAction> submit(long ticket, String job) {
        return on(new EntryEvent.Submitted(ticket, request(job), 2_000));
    }

    private static CellMessage.Offer offer(List<EntryAction> actions) {
        return (CellMessage.Offer) ((EntryAction.Send) actions.get(0)).message();
    }

    private static Verdict verdict(List<EntryAction> actions) {
        return ((EntryAction.Reply) actions.get(0)).verdict();
    }

    @Nested
    final class Offering {
        @Test
        void aJobIsOfferedToTheControllerAndItsVerdictReachesTheCaller() {
            on(new EntryEvent.ControllerHeard("vm1", 7));
            CellMessage.Offer offer = offer(submit(1));
            assertThat(offer.fence()).isEqualTo(7);
            assertThat(offer.controllers()).isEqualTo(1);
            Verdict done = new Verdict.Completed();
            assertThat(verdict(on(new EntryEvent.Decided(JOB, offer.number(), done))))
                    .isEqualTo(done);
            assertThat(mPendingJobs.waitingCallers()).isEqualTo(0);
        }

        @Test
        void twoCallersOfOneJobGetOneVerdict() {
            on(new EntryEvent.ControllerHeard("vm1", 7));
            CellMessage.Offer offer = offer(submit(1));
            assertThat(submit(2)).isEmpty();
            Verdict done = new Verdict.Completed();
            assertThat(on(new EntryEvent.Decided(JOB, offer.number(), done))).hasSize(2);
        }

        /**
         * The controller is lost while a caller waits. The job is offered to the next controller as
         * soon as that is known, as an offer to the second controller, so that it is not treated as
         * certainly not started.
         */
        @Test
        void waitingJobsAreOfferedToTheNextController() {
            on(new EntryEvent.ControllerHeard("vm1", 7));
            submit(1);
            CellMessage.Offer again = offer(on(new EntryEvent.ControllerHeard("vm2", 9)));
            assertThat(again.controllers()).isEqualTo(2);
            assertThat(again.fence()).isEqualTo(9);
        }

        @Test
        void anEarlierControllerIsIgnored() {
            on(new EntryEvent.ControllerHeard("vm2", 9));
            assertThat(on(new EntryEvent.ControllerHeard("vm1", 7))).isEmpty();
            assertThat(mPendingJobs.controller(mNowMs)).hasValue("vm2");
        }
    }

    @Nested
    final class Refusing {
        /**
         * Guards against a false refusal: a partitioned controller refuses a job that has meanwhile
         * been offered to the next controller and started there.
         */
        @Test
        void aLateRefusalOfAnEarlierOfferIsDropped() {
            on(new EntryEvent.ControllerHeard("vm1", 7));
            CellMessage.Offer first = offer(submit(1));
            on(new EntryEvent.ControllerHeard("vm2", 9));
            Verdict refused = new Verdict.Declined("too late", 1_000);
            assertThat(on(new EntryEvent.Decided(JOB, first.number(), refused))).isEmpty();
            assertThat(mPendingJobs.waitingCallers()).isEqualTo(1);
        }

        @Test
        void aResultOfAnEarlierOfferStillCounts() {
            on(new EntryEvent.ControllerHeard("vm1", 7));
            CellMessage.Offer first = offer(submit(1));
            on(new EntryEvent.ControllerHeard("vm2", 9));
            Verdict done = new Verdict.Completed();
            assertThat(on(new EntryEvent.Decided(JOB, first.number(), done))).hasSize(1);
        }

        /**
         * Without a known controller, the caller is answered after a short wait, not at its
         * deadline.
         */
        @Test
        void withoutAControllerACallerIsAnsweredSoon() {
            submit(1);
            mNowMs += 300;
            assertThat(verdict(on(new EntryEvent.Ticked()))).isInstanceOf(Verdict.InDoubt.class);
        }

        /** The job was offered and may run, so the caller must not be told that it did not. */
        @Test
        void anOfferedJobWithoutAVerdictEndsInDoubt() {
            on(new EntryEvent.ControllerHeard("vm1", 7));
            submit(1);
            mNowMs += 2_000;
            assertThat(verdict(on(new EntryEvent.Ticked()))).isInstanceOf(Verdict.InDoubt.class);
        }

        @Test
        void aStoppingVmTakesNoNewJobsAndFinishesTheOthers() {
            on(new EntryEvent.ControllerHeard("vm1", 7));
            CellMessage.Offer offer = offer(submit(1));
            on(new EntryEvent.Draining());
            assertThat(verdict(submit(2, OTHER_JOB))).isInstanceOf(Verdict.InDoubt.class);
            assertThat(verdict(submit(3))).isInstanceOf(Verdict.InDoubt.class);
            Verdict done = new Verdict.Completed();
            assertThat(verdict(on(new EntryEvent.Decided(JOB, offer.number(), done))))
                    .isEqualTo(done);
        }

        @Test
        void aCallerThatLeavesWithdrawsItsJob() {
            on(new EntryEvent.ControllerHeard("vm1", 7));
            submit(1);
            EntryAction.Send tell = (EntryAction.Send) on(new EntryEvent.CallerLeft(1)).get(0);
            assertThat(tell.message()).isEqualTo(new CellMessage.Withdraw(JOB));
        }
    }
}
