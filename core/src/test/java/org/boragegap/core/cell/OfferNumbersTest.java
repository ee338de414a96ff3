package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Offer numbers identify and order the offers of an entry VM, also across its restarts. */
final class OfferNumbersTest {
    private static final String JOB = "00000000000000c1";
    private static final TargetInfo TARGET = ScriptedCell.target("t1", "x:1", "a", 2_000);

    /**
     * Wall clock at the start of the first process, in ms since the Unix epoch; an arbitrary date.
     */
    private static final long START_WALL_MS = 1_800_000_000_000L;

    /** Number of offers that a process makes before it ends. */
    private static final int MANY_OFFERS = 500;

    private static JobRequest request() {
        StepRequest tooLarge = StepRequest.cpuOnly(1, 9_000, 100);
        return new JobRequest(JOB, "queue", "service", 0, 1, 1.6, 600, "", List.of(tooLarge), 1);
    }

    /** One process of an entry VM between two restarts, with its own monotonic clock. */
    private static final class EntryVmProcess {
        private final PendingJobs mPendingJobs;
        private final List<EntryAction> mActions = new ArrayList<>();
        private final ClockReading mNow;
        private long mNextTicket = 1;

        EntryVmProcess(long wallMs) {
            mNow = new ClockReading(10, wallMs);
            mPendingJobs = PendingJobs.create(new HeartbeatTiming(), mNow);
            on(new EntryEvent.ControllerHeard("vm1", 7));
        }

        private void on(EntryEvent event) {
            mPendingJobs.on(event, mNow, mActions);
        }

        CellMessage.Offer offer() {
            on(new EntryEvent.Submitted(mNextTicket, request(), 2_000));
            on(new EntryEvent.CallerLeft(mNextTicket++));
            return mActions.stream()
                    .filter(EntryAction.Send.class::isInstance)
                    .map(action -> ((EntryAction.Send) action).message())
                    .filter(CellMessage.Offer.class::isInstance)
                    .map(CellMessage.Offer.class::cast)
                    .reduce((earlier, later) -> later)
                    .orElseThrow();
        }

        CellMessage.Offer lastOfMany() {
            for (int i = 1; i < MANY_OFFERS; i++) {
                offer();
            }
            return offer();
        }
    }

    @Nested
    final class AcrossRestarts {
        /**
         * Guards against matching an answer to an offer from before a restart to one from after it.
         */
        @Test
        void offerNumbersDifferAcrossRestarts() {
            long first = new EntryVmProcess(START_WALL_MS).offer().number();
            assertThat(new EntryVmProcess(START_WALL_MS + 1).offer().number()).isNotEqualTo(first);
            assertThat(new EntryVmProcess(START_WALL_MS - 1).offer().number()).isNotEqualTo(first);
        }

        @Test
        void offerNumbersAreHigherAfterARestart() {
            long last = new EntryVmProcess(START_WALL_MS).lastOfMany().number();
            assertThat(new EntryVmProcess(START_WALL_MS + 1).offer().number()).isGreaterThan(last);
        }

        @Test
        void offerNumbersRiseWithinOneProcess() {
            EntryVmProcess life = new EntryVmProcess(START_WALL_MS);
            long first = life.offer().number();
            assertThat(first).isGreaterThan(0);
            assertThat(life.offer().number()).isGreaterThan(first);
        }
    }

    @Nested
    final class AtTheController {
        private final CellController mController =
                CellController.create(new CellSettings(1_000, 2));
        private final List<CellAction> mActions = new ArrayList<>();

        @BeforeEach
        void begin() {
            on(0, new CellEvent.DomainsEvacuated(Set.of()));
            on(0, new CellEvent.TermBegan(7, Optional.of(List.of(TARGET))));
            on(0, new CellEvent.TargetsListed(List.of(TARGET)));
        }

        private void on(long ms, CellEvent event) {
            mController.exclusiveUntil(ms + 1_000);
            mController.on(event, new ClockReading(ms, ms), mActions);
        }

        private void offered(long ms, CellMessage.Offer offer) {
            on(ms, new CellEvent.Offered("vm2", offer.request(), 0, 1_500, 1, offer.number()));
        }

        private List<Long> answered() {
            return mActions.stream()
                    .filter(CellAction.Answer.class::isInstance)
                    .map(action -> ((CellAction.Answer) action).number())
                    .toList();
        }

        /** Guards against a caller that gets no answer because its entry VM was restarted. */
        @Test
        void anOfferAfterARestartIsAnswered() {
            CellMessage.Offer before = new EntryVmProcess(START_WALL_MS).lastOfMany();
            offered(10, before);
            CellMessage.Offer after = new EntryVmProcess(START_WALL_MS + 1_000).offer();
            offered(1_100, after);
            assertThat(answered()).containsExactly(before.number(), after.number()).inOrder();
        }

        /** Guards against a delayed offer from before a restart that starts a refused job. */
        @Test
        void aDelayedOfferFromBeforeARestartIsIgnored() {
            CellMessage.Offer before = new EntryVmProcess(START_WALL_MS).lastOfMany();
            CellMessage.Offer after = new EntryVmProcess(START_WALL_MS + 1_000).offer();
            offered(1_100, after);
            offered(1_200, before);
            assertThat(answered()).containsExactly(after.number());
        }

        /**
         * After a restart with the clock set back, offers of a refused job go unanswered only as
         * long as the refusal is remembered.
         */
        @Test
        void afterAClockSetBackAnOfferIsAnsweredOnceTheRefusalIsForgotten() {
            CellMessage.Offer before = new EntryVmProcess(START_WALL_MS).offer();
            offered(10, before);
            CellMessage.Offer after = new EntryVmProcess(START_WALL_MS - 5_000).offer();
            offered(1_100, after);
            assertThat(answered()).containsExactly(before.number());
            on(10_100, new CellEvent.Ticked());
            offered(10_200, after);
            assertThat(answered()).containsExactly(before.number(), after.number()).inOrder();
        }
    }
}
