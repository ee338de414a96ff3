package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Callers of a simulated history. Each submits its job to a random entry VM, and again after a lost
 * connection or an answer in doubt.
 */
final class FakeCallers {
    static final long RESEND_MS = 1_300;
    private static final long BUDGET_MS = 2_500;

    /** Passes an event to an incarnation of a VM. */
    @FunctionalInterface
    interface Feed {
        void feed(FakeEntryVm vm, int incarnation, MemberEvent event);
    }

    private final SimulatedClock mClock;
    private final SplittableRandom mRandom;
    private final InvariantChecker mInvariants;
    private final List<FakeEntryVm> mVms;
    private final Feed mFeed;
    private long mNextTicket = 1;

    FakeCallers(
            SimulatedClock clock,
            SplittableRandom random,
            InvariantChecker invariants,
            List<FakeEntryVm> vms,
            Feed feed) {
        mClock = clock;
        mRandom = random;
        mInvariants = invariants;
        mVms = vms;
        mFeed = feed;
    }

    void submit(JobRequest request) {
        FakeEntryVm vm = mVms.get(mRandom.nextInt(mVms.size()));
        mInvariants.submitted(request.id());
        if (!vm.mAlive) {
            mClock.after(RESEND_MS, () -> submit(request));
            return;
        }
        long ticket = mNextTicket++;
        vm.mCallers.put(ticket, request);
        EntryEvent event = new EntryEvent.Submitted(ticket, request, BUDGET_MS);
        mFeed.feed(vm, vm.mIncarnation, new MemberEvent.ForPendingJobs(event));
    }

    void replied(FakeEntryVm vm, EntryAction.Reply reply) {
        JobRequest request = vm.mCallers.remove(reply.ticket());
        if (request == null) {
            return;
        }
        mInvariants.answered(request, reply.verdict());
        if (reply.verdict() instanceof Verdict.InDoubt) {
            mClock.after(RESEND_MS, () -> submit(request));
        }
    }

    /** All connections to the VM are lost. */
    void connectionsLost(FakeEntryVm vm) {
        List<JobRequest> interrupted = new ArrayList<>(vm.mCallers.values());
        interrupted.forEach(request -> mClock.after(RESEND_MS, () -> submit(request)));
    }
}
