package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragegap.core.ClockReading;

/**
 * Keeps what the callers of one entry VM wait for, and hands it to whoever controls the cell.
 *
 * <p>The entry VM holds each job until it is answered. When a controller is replaced, the jobs are
 * offered to the next one: no waiting job depends on the memory of a single VM.
 */
public final class PendingJobs {
    /**
     * How long a job may wait for a controller to be known, in ms. A planned hand-over takes some
     * ten ms; a caller is better served by coming back than by waiting longer.
     */
    private static final long CONTROLLER_WAIT_MS = 250;

    /** When a caller should come back after a refusal for want of a controller, in ms. */
    private static final long RETRY_AFTER_MS = 1_000;

    /** A job without a verdict is offered again after this time, in ms: a frame may be lost. */
    private static final long REOFFER_AFTER_MS = 1_000;

    /**
     * Bits of an offer's number below those of the time in ms: a life that makes fewer offers per
     * ms than these can count never reaches the numbers of the next.
     */
    private static final int OFFERS_PER_MS_BITS = 20;

    private final HeartbeatTiming mPace;
    private final Map<String, PendingJob> mPending = new HashMap<>();
    private final Map<Long, String> mJobByTicket = new HashMap<>();
    private final RecentJobs<OfferHistory> mOfferHistories = new RecentJobs<>();
    private String mController = "";
    private long mFence;
    private long mLastHeardMs;
    private boolean mDraining;

    /**
     * Numbers of offers begin with the time at which this process began, so that those of its later
     * lives are higher, and no answer to one life's offer is taken for one to another's. If the
     * clock was set back meanwhile by more than the VM was down, the controller takes new offers of
     * a job that it refused before for late ones, for as long as it remembers the refusal.
     */
    private long mNextOfferNumber;

    private long mNowMs;
    private List<EntryAction> mActions;

    private record Caller(long ticket, long arrivedMs, long deadlineMs) {}

    /**
     * What became of a job so far.
     *
     * @param controllers to how many controllers it has been offered
     * @param fence fencing token of the last of them
     */
    private record OfferHistory(int controllers, long fence) {
        static final OfferHistory NONE = new OfferHistory(0, 0);

        OfferHistory withOfferTo(long newFence) {
            return newFence == fence ? this : new OfferHistory(controllers + 1, newFence);
        }

        /** Answer to a caller whose job isn't handed over now, nor will be. */
        Verdict refusal(String reason) {
            return controllers == 0
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

        private PendingJob(JobRequest request, OfferHistory before) {
            mRequest = request;
            mOfferHistory = before;
        }

        /** True when it was offered since it waits. */
        private boolean offered() {
            return mOfferNumber > 0;
        }

        /** When the last of its callers gives up. */
        private long deadlineMs() {
            return mCallers.stream().mapToLong(Caller::deadlineMs).max().orElse(0);
        }

        private long arrivedMs() {
            return mCallers.isEmpty() ? 0 : mCallers.get(0).arrivedMs();
        }
    }

    private PendingJobs(HeartbeatTiming pace, ClockReading began) {
        mPace = pace;
        mNextOfferNumber = (began.wallMs() << OFFERS_PER_MS_BITS) + 1;
    }

    /**
     * Makes a desk at which nobody waits.
     *
     * @param began when this process began
     */
    static PendingJobs create(HeartbeatTiming pace, ClockReading began) {
        return new PendingJobs(pace, began);
    }

    /**
     * Address of the controller, if one was heard of lately. After a silence of some heartbeats no
     * more jobs are handed to it: what is handed to a controller that is lost, or beyond a cut,
     * can't be refused as not run any more, and ends in doubt when its time is over.
     */
    public Optional<String> controller(long nowMs) {
        boolean silent = mController.isEmpty() || nowMs - mLastHeardMs > mPace.lostAfterMs();
        return silent ? Optional.empty() : Optional.of(mController);
    }

    /** When a controller was last heard of; empty when none ever was. */
    Optional<Long> lastHeardMs() {
        return mFence == 0 ? Optional.empty() : Optional.of(mLastHeardMs);
    }

    /** This VM was held up, so that it could not hear the controller meanwhile. */
    void compensateForStall(long forMs, long nowMs) {
        if (!mController.isEmpty()) {
            mLastHeardMs = Math.min(nowMs, mLastHeardMs + forMs);
        }
    }

    /** Highest fencing token heard of. */
    public long fence() {
        return mFence;
    }

    /** How many callers wait. */
    public int waitingCallers() {
        return mJobByTicket.size();
    }

    /** Handles an event; what is to be done is added to {@code actions}. */
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
            reply(caller, id, offerHistory(id).refusal("this VM is stopping"));
            return;
        }
        mJobByTicket.put(event.ticket(), id);
        PendingJob waiting = mPending.get(id);
        if (waiting != null) {
            waiting.mCallers.add(caller);
            return;
        }
        waiting = new PendingJob(event.request(), offerHistory(id));
        waiting.mCallers.add(caller);
        mPending.put(id, waiting);
        if (controller(mNowMs).isPresent()) {
            offer(waiting);
        }
    }

    private OfferHistory offerHistory(String job) {
        return mOfferHistories.find(job, mNowMs).orElse(OfferHistory.NONE);
    }

    private void offer(PendingJob waiting) {
        waiting.mOfferHistory = waiting.mOfferHistory.withOfferTo(mFence);
        mOfferHistories.remember(waiting.mRequest.id(), waiting.mOfferHistory, mNowMs);
        waiting.mLastOfferMs = mNowMs;
        waiting.mOfferNumber = mNextOfferNumber++;
        long arrivedMs = waiting.arrivedMs();
        CellMessage message =
                new CellMessage.Offer(
                        mFence,
                        waiting.mRequest,
                        mNowMs - arrivedMs,
                        waiting.deadlineMs() - arrivedMs,
                        waiting.mOfferHistory.controllers(),
                        waiting.mOfferNumber);
        mActions.add(new EntryAction.Send(mController, message));
    }

    private void reply(Caller caller, String job, Verdict verdict) {
        mJobByTicket.remove(caller.ticket());
        long waitedMs = mNowMs - caller.arrivedMs();
        mActions.add(new EntryAction.Reply(caller.ticket(), job, verdict, waitedMs));
    }

    private void callerLeft(long ticket) {
        String id = mJobByTicket.remove(ticket);
        if (id == null) {
            return;
        }
        PendingJob waiting = mPending.get(id);
        waiting.mCallers.removeIf(caller -> caller.ticket() == ticket);
        if (waiting.mCallers.isEmpty()) {
            withdraw(id, "caller left");
        }
    }

    private void withdraw(String id, String cause) {
        PendingJob waiting = mPending.remove(id);
        if (waiting.offered() && !mController.isEmpty()) {
            mActions.add(new EntryAction.Send(mController, new CellMessage.Withdraw(id)));
        }
        int controllers = waiting.mOfferHistory.controllers();
        mActions.add(
                new EntryAction.Log(
                        Decision.job("withdraw", id, "controllers=" + controllers, cause)));
    }

    private void controllerHeard(EntryEvent.ControllerHeard heard) {
        if (heard.fence() < mFence) {
            return;
        }
        boolean another = heard.fence() > mFence;
        boolean back = controller(mNowMs).isEmpty();
        mController = heard.address();
        mFence = heard.fence();
        mLastHeardMs = mNowMs;
        if (another) {
            String inputs = "fence=" + mFence + " address=" + mController;
            mActions.add(
                    new EntryAction.Log(
                            Decision.self(
                                    "controller", inputs, mPending.size() + " jobs offered")));
        }
        if (another || back) {
            mPending.values().forEach(this::offer);
        }
    }

    private void controllerLeft(long fence) {
        if (fence == mFence) {
            mController = "";
            mLastHeardMs = mNowMs - mPace.lostAfterMs();
        }
    }

    private void decided(EntryEvent.Decided event) {
        PendingJob waiting = mPending.get(event.job());
        if (waiting == null || isOutdated(waiting, event)) {
            return;
        }
        mPending.remove(event.job());
        if (event.verdict() instanceof Verdict.Declined) {
            mOfferHistories.forget(event.job());
        }
        for (Caller caller : waiting.mCallers) {
            reply(caller, event.job(), event.verdict());
        }
    }

    /**
     * Guards against a refusal that isn't true any more. A controller that was cut off refuses a
     * job; the job was offered again meanwhile, and the next controller has started it. Told to the
     * caller, the late refusal would deny work that runs. Only the answer to the last offer counts.
     */
    private static boolean isOutdated(PendingJob waiting, EntryEvent.Decided event) {
        boolean ended =
                event.verdict() instanceof Verdict.Completed
                        || event.verdict() instanceof Verdict.Failed;
        return !ended && event.number() != waiting.mOfferNumber;
    }

    private void tick() {
        boolean known = controller(mNowMs).isPresent();
        for (PendingJob waiting : new ArrayList<>(mPending.values())) {
            answerExpired(waiting);
            if (waiting.mCallers.isEmpty()) {
                withdraw(waiting.mRequest.id(), "time is over");
            } else if (known && mNowMs - waiting.mLastOfferMs > REOFFER_AFTER_MS) {
                offer(waiting);
            }
        }
    }

    /** Answers the callers of this job whose time is over, or whom nobody can serve. */
    private void answerExpired(PendingJob waiting) {
        String id = waiting.mRequest.id();
        for (Caller caller : List.copyOf(waiting.mCallers)) {
            if (!waiting.offered() && mNowMs - caller.arrivedMs() > CONTROLLER_WAIT_MS) {
                waiting.mCallers.remove(caller);
                reply(caller, id, waiting.mOfferHistory.refusal("no controller is known"));
            } else if (mNowMs >= caller.deadlineMs()) {
                waiting.mCallers.remove(caller);
                reply(caller, id, new Verdict.InDoubt("no verdict in time"));
            }
        }
    }
}
