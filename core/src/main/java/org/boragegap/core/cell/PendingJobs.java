package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.boragegap.core.ClockReading;
import org.boragegap.core.records.RecentJobs;

/**
 * Holds the jobs that callers of one entry VM wait for, and offers them to the current controller
 * of the cell.
 *
 * <p>The entry VM keeps each job until it is answered. When the controller changes, the pending
 * jobs are offered to the new one, so no pending job depends on the memory of a controller.
 */
public final class PendingJobs {
    /**
     * How long a job may wait until a controller is known, in ms. A planned handover takes some ten
     * ms; after a longer wait, a retry serves the caller better.
     */
    private static final long CONTROLLER_WAIT_MS = 250;

    /** Retry delay for a caller whose job a controller has refused before, in ms. */
    private static final long RETRY_AFTER_MS = 1_000;

    /**
     * How long after a controller's refusal this VM may repeat it by itself, in ms. A caller that
     * has not got the refusal submits the job again elsewhere, no sooner than this, and it may run
     * there without this VM being told.
     */
    private static final long REFUSAL_HOLDS_MS = 1_000;

    /**
     * A job without a verdict is offered again after this time, in ms, because a message may be
     * lost.
     */
    private static final long REOFFER_AFTER_MS = 1_000;

    /**
     * Number of low bits of an offer number, below the time in ms. As long as a process makes fewer
     * offers per ms than these bits can count, its numbers stay below those of the process that
     * runs after the next restart.
     */
    private static final int OFFERS_PER_MS_BITS = 20;

    private final HeartbeatTiming mTiming;
    private final Map<String, PendingJob> mPending = new HashMap<>();
    private final Map<Long, String> mJobByTicket = new HashMap<>();
    private final RecentJobs<OfferHistory> mOfferHistories = new RecentJobs<>();
    private String mController = "";
    private long mFence;
    private long mLastHeardMs;
    private boolean mDraining;

    /**
     * Offer numbers start from the wall clock at process start. The numbers of a restarted process
     * are therefore higher than those before the restart, and an answer to an offer of one process
     * is never matched to an offer of another. If the clock was set back by more than the downtime,
     * the controller treats new offers of a job that it refused before as delayed ones, for as long
     * as it remembers the refusal.
     */
    private long mNextOfferNumber;

    private long mNowMs;
    private List<EntryAction> mActions;

    private record Caller(long ticket, long arrivedMs, long deadlineMs) {}

    /**
     * The controllers that a job has been offered to.
     *
     * @param controllers number of controllers
     * @param fence fencing token of the last one
     * @param refusedMs when a controller has refused the job since the last offer, in ms; empty if
     *     none has
     */
    private record OfferHistory(int controllers, long fence, OptionalLong refusedMs) {
        static final OfferHistory NONE = new OfferHistory(0, 0, OptionalLong.empty());

        static OfferHistory refusedAt(long ms) {
            return new OfferHistory(0, 0, OptionalLong.of(ms));
        }

        OfferHistory withOfferTo(long newFence) {
            return newFence == fence
                    ? this
                    : new OfferHistory(controllers + 1, newFence, OptionalLong.empty());
        }

        boolean refused() {
            return refusedMs.isPresent();
        }

        OfferHistory withoutExpiredRefusal(long nowMs) {
            boolean holds = !refused() || nowMs - refusedMs.getAsLong() <= REFUSAL_HOLDS_MS;
            return holds ? this : NONE;
        }

        /**
         * Verdict for a caller for whom the job will not be offered to a controller. Only a
         * controller knows that a job has not run: the caller may have submitted it to another VM
         * before, which has offered it.
         */
        Verdict refusal(String reason) {
            return refused()
                    ? new Verdict.Declined(reason, RETRY_AFTER_MS)
                    : new Verdict.InDoubt(reason);
        }
    }

    private static final class PendingJob {
        private final JobRequest mRequest;
        private final List<Caller> mCallers = new ArrayList<>();
        private OfferHistory mOfferHistory;
        private long mOfferNumber;
        private long mLastOfferMs;

        private PendingJob(JobRequest request, OfferHistory offerHistory) {
            mRequest = request;
            mOfferHistory = offerHistory;
        }

        /** True when the job has been offered since it became pending. */
        private boolean offered() {
            return mOfferNumber > 0;
        }

        /** Latest deadline of its callers; 0 without callers. */
        private long deadlineMs() {
            return mCallers.stream().mapToLong(Caller::deadlineMs).max().orElse(0);
        }

        private long arrivedMs() {
            return mCallers.isEmpty() ? 0 : mCallers.get(0).arrivedMs();
        }
    }

    private PendingJobs(HeartbeatTiming timing, ClockReading start) {
        mTiming = timing;
        mNextOfferNumber = (start.wallMs() << OFFERS_PER_MS_BITS) + 1;
    }

    /**
     * Creates an instance without pending jobs.
     *
     * @param timing when a controller counts as lost
     * @param start clock reading at process start
     */
    static PendingJobs create(HeartbeatTiming timing, ClockReading start) {
        return new PendingJobs(timing, start);
    }

    /**
     * Address of the controller; empty after several heartbeat periods of silence, when no more
     * jobs are offered to it. A job that was offered to a lost or partitioned controller can no
     * longer be refused as not run, and ends in doubt at its deadline.
     */
    public Optional<String> controller(long nowMs) {
        boolean lost = mController.isEmpty() || nowMs - mLastHeardMs > mTiming.lostAfterMs();
        return lost ? Optional.empty() : Optional.of(mController);
    }

    /** Time of the last heartbeat of a controller; empty if there was none. */
    Optional<Long> lastHeardMs() {
        return mFence == 0 ? Optional.empty() : Optional.of(mLastHeardMs);
    }

    /** Extends the permitted silence after this VM was stalled and could not process heartbeats. */
    void compensateForStall(long stallMs, long nowMs) {
        if (!mController.isEmpty()) {
            mLastHeardMs = Math.min(nowMs, mLastHeardMs + stallMs);
        }
    }

    /** Highest fencing token seen in a heartbeat. */
    public long fence() {
        return mFence;
    }

    /** Number of waiting callers. */
    public int waitingCallers() {
        return mJobByTicket.size();
    }

    /**
     * Jobs that callers have brought to this VM since a time and that may have started: it has
     * offered them, or has answered in doubt without offering them.
     */
    List<String> mayHaveStartedSince(long sinceMs) {
        return mOfferHistories.since(sinceMs, history -> !history.refused());
    }

    /** See {@link RecentJobs#evictedMs}. */
    long evictedMs() {
        return mOfferHistories.evictedMs();
    }

    /** Handles an event and adds the resulting actions to {@code actions}. */
    public void on(EntryEvent event, ClockReading clock, List<EntryAction> actions) {
        mNowMs = clock.monotonicMs();
        mActions = actions;
        if (event instanceof EntryEvent.Submitted submitted) {
            submitted(submitted);
        } else if (event instanceof EntryEvent.CallerLeft left) {
            callerLeft(left.ticket());
        } else if (event instanceof EntryEvent.ControllerHeard heard) {
            controllerHeard(heard);
        } else if (event instanceof EntryEvent.ControllerLeft left) {
            controllerLeft(left.fence());
        } else if (event instanceof EntryEvent.Decided decided) {
            decided(decided);
        } else if (event instanceof EntryEvent.Draining) {
            mDraining = true;
        } else if (event instanceof EntryEvent.Ticked) {
            tick();
        }
    }

    private void submitted(EntryEvent.Submitted event) {
        String id = event.request().id();
        Caller caller = new Caller(event.ticket(), mNowMs, mNowMs + event.budgetMs());
        if (mDraining) {
            refuse(caller, id, offerHistory(id), "this VM is stopping");
            return;
        }
        mJobByTicket.put(event.ticket(), id);
        PendingJob pending = mPending.get(id);
        if (pending != null) {
            pending.mCallers.add(caller);
            return;
        }
        pending = new PendingJob(event.request(), offerHistory(id));
        pending.mCallers.add(caller);
        mPending.put(id, pending);
        if (controller(mNowMs).isPresent()) {
            offer(pending);
        }
    }

    private OfferHistory offerHistory(String job) {
        return mOfferHistories.find(job, mNowMs).orElse(OfferHistory.NONE);
    }

    private void offer(PendingJob pending) {
        pending.mOfferHistory = pending.mOfferHistory.withOfferTo(mFence);
        mOfferHistories.remember(pending.mRequest.id(), pending.mOfferHistory, mNowMs);
        pending.mLastOfferMs = mNowMs;
        pending.mOfferNumber = mNextOfferNumber++;
        long arrivedMs = pending.arrivedMs();
        CellMessage message =
                new CellMessage.Offer(
                        mFence,
                        pending.mRequest,
                        mNowMs - arrivedMs,
                        pending.deadlineMs() - arrivedMs,
                        pending.mOfferHistory.controllers(),
                        pending.mOfferNumber);
        mActions.add(new EntryAction.Send(mController, message));
    }

    private void reply(Caller caller, String job, Verdict verdict) {
        mJobByTicket.remove(caller.ticket());
        long waitedMs = mNowMs - caller.arrivedMs();
        mActions.add(new EntryAction.Reply(caller.ticket(), job, verdict, waitedMs));
    }

    /**
     * Answers a caller whose job is not offered to a controller. The job is remembered: a later
     * term must not refuse it only because it comes back after the records of its first start.
     */
    private void refuse(Caller caller, String job, OfferHistory history, String reason) {
        OfferHistory current = history.withoutExpiredRefusal(mNowMs);
        mOfferHistories.remember(job, current, mNowMs);
        reply(caller, job, current.refusal(reason));
    }

    private void callerLeft(long ticket) {
        String id = mJobByTicket.remove(ticket);
        if (id == null) {
            return;
        }
        PendingJob pending = mPending.get(id);
        pending.mCallers.removeIf(caller -> caller.ticket() == ticket);
        if (pending.mCallers.isEmpty()) {
            withdraw(id, "the last caller disconnected");
        }
    }

    private void withdraw(String id, String cause) {
        PendingJob pending = mPending.remove(id);
        if (pending.offered() && !mController.isEmpty()) {
            mActions.add(new EntryAction.Send(mController, new CellMessage.Withdraw(id)));
        }
        int controllers = pending.mOfferHistory.controllers();
        mActions.add(
                new EntryAction.Log(
                        Decision.job("withdraw", id, "controllers=" + controllers, cause)));
    }

    private void controllerHeard(EntryEvent.ControllerHeard heard) {
        if (heard.fence() < mFence) {
            return;
        }
        boolean newTerm = heard.fence() > mFence;
        boolean wasLost = controller(mNowMs).isEmpty();
        mController = heard.address();
        mFence = heard.fence();
        mLastHeardMs = mNowMs;
        if (newTerm) {
            String inputs = "fence=" + mFence + " address=" + mController;
            mActions.add(
                    new EntryAction.Log(
                            Decision.self(
                                    "controller",
                                    inputs,
                                    mPending.size() + " pending jobs offered")));
        }
        if (newTerm || wasLost) {
            mPending.values().forEach(this::offer);
        }
    }

    private void controllerLeft(long fence) {
        if (fence == mFence) {
            mController = "";
            mLastHeardMs = mNowMs - mTiming.lostAfterMs();
        }
    }

    private void decided(EntryEvent.Decided event) {
        PendingJob pending = mPending.get(event.job());
        if (pending == null || isOutdated(pending, event)) {
            return;
        }
        mPending.remove(event.job());
        if (event.verdict() instanceof Verdict.Declined) {
            mOfferHistories.remember(event.job(), OfferHistory.refusedAt(mNowMs), mNowMs);
        }
        for (Caller caller : pending.mCallers) {
            reply(caller, event.job(), event.verdict());
        }
    }

    /**
     * True for a refusal that may no longer hold. For example, a partitioned controller refuses a
     * job that has meanwhile been offered to the next controller and started there; reported to the
     * caller, the late refusal would deny that the job runs. Only the answer to the last offer
     * counts, except for the end of a job, which stays true.
     */
    private static boolean isOutdated(PendingJob pending, EntryEvent.Decided event) {
        boolean ended =
                event.verdict() instanceof Verdict.Completed
                        || event.verdict() instanceof Verdict.Failed;
        return !ended && event.number() != pending.mOfferNumber;
    }

    private void tick() {
        boolean controllerKnown = controller(mNowMs).isPresent();
        for (PendingJob pending : new ArrayList<>(mPending.values())) {
            answerExpired(pending);
            if (pending.mCallers.isEmpty()) {
                withdraw(pending.mRequest.id(), "no caller is waiting any more");
            } else if (controllerKnown && mNowMs - pending.mLastOfferMs > REOFFER_AFTER_MS) {
                offer(pending);
            }
        }
    }

    /**
     * Answers the callers of this job whose deadline has passed, or that waited too long for a
     * controller.
     */
    private void answerExpired(PendingJob pending) {
        String id = pending.mRequest.id();
        for (Caller caller : List.copyOf(pending.mCallers)) {
            if (!pending.offered() && mNowMs - caller.arrivedMs() > CONTROLLER_WAIT_MS) {
                pending.mCallers.remove(caller);
                refuse(caller, id, pending.mOfferHistory, "no controller is known");
            } else if (mNowMs >= caller.deadlineMs()) {
                pending.mCallers.remove(caller);
                reply(caller, id, new Verdict.InDoubt("no verdict in time"));
            }
        }
    }
}
