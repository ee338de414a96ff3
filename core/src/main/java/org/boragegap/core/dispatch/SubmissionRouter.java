package org.boragegap.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.ClockReading;
import org.boragegap.core.claim.ClaimAction;
import org.boragegap.core.claim.ClaimKey;
import org.boragegap.core.claim.ClaimOutcome;
import org.boragegap.core.claim.ClaimProtocol;
import org.boragegap.core.job.Answer;
import org.boragegap.core.job.FailureKind;
import org.boragegap.core.job.Submission;
import org.boragegap.core.job.SubmissionId;
import org.boragegap.core.placement.Ownership;

/** Determines which VM may start a submission, and forwards it if that is another VM. */
final class SubmissionRouter {
    private static final int MAX_HOPS = 2;

    private static final class PendingSubmission {
        private final Submission mSubmission;
        private final int mHops;
        private final List<CallerRef> mCallers = new ArrayList<>();

        private PendingSubmission(Submission submission, int hops) {
            mSubmission = submission;
            mHops = hops;
        }
    }

    private final String mSelfAddress;
    private final String mDomain;
    private final List<String> mDomains;
    private final ClaimProtocol mClaims;
    private final List<ClaimAction> mClaimActions;
    private final JobScheduler mJobs;
    private final EntryVms mEntryVms;
    private final Replies mReplies;
    private final Counters mCounters;
    private final Forwards mForwards = new Forwards();
    private final Map<ClaimKey, PendingSubmission> mPending = new HashMap<>();
    private boolean mDraining;

    SubmissionRouter(
            String selfAddress,
            DispatchSettings settings,
            ClaimProtocol claims,
            List<ClaimAction> claimActions,
            JobScheduler jobs,
            EntryVms entryVms,
            Counters counters) {
        mSelfAddress = selfAddress;
        mDomain = settings.domain();
        mDomains = settings.domains();
        mClaims = claims;
        mClaimActions = claimActions;
        mJobs = jobs;
        mEntryVms = entryVms;
        mReplies = new Replies(counters);
        mCounters = counters;
    }

    /** Makes the router accept no new submissions from now on. */
    void drain() {
        mDraining = true;
    }

    boolean idle() {
        return mForwards.size() == 0 && mPending.isEmpty();
    }

    int forwards() {
        return mForwards.size();
    }

    /** Handles a submission from a caller or from another VM. */
    void onSubmitted(Event.Submitted event, ClockReading clock, List<Action> out) {
        mCounters.increment(Counters.Name.SUBMISSIONS);
        Submission submission = event.submission();
        Optional<Job> known = mJobs.find(submission.id());
        if (known.isPresent()) {
            attachCaller(known.get(), event, out);
            return;
        }
        if (event.newId()) {
            onNewId(event, clock, out);
            return;
        }
        if (submission.id().minter().isPresent()) {
            onMintedId(event, submission.id().minter().get(), out);
            return;
        }
        Optional<String> home = homeOf(submission.id());
        if (home.isEmpty()) {
            Answer answer = Replies.failed(FailureKind.IMPOSSIBLE, "unknown failure domain");
            mReplies.reply(event.caller(), submission, answer, out);
        } else if (!home.get().equals(mDomain)) {
            forwardHome(event, home.get(), clock, out);
        } else if (mDraining) {
            forwardToSibling(event, clock, out);
        } else {
            requestClaim(event, clock, out);
        }
    }

    private void attachCaller(Job job, Event.Submitted event, List<Action> out) {
        if (job.submission().fingerprint() != event.submission().fingerprint()) {
            mReplies.reply(event.caller(), event.submission(), Replies.conflict(), out);
            return;
        }
        mJobs.attachCaller(job, event.caller(), out);
    }

    /**
     * Handles a submission whose id was just minted here. No other VM can know the id, so it needs
     * no claim.
     */
    private void onNewId(Event.Submitted event, ClockReading clock, List<Action> out) {
        Submission submission = event.submission();
        if (mDraining) {
            Answer answer = Replies.notRun(submission, "this VM is draining");
            mReplies.reply(event.caller(), submission, answer, out);
            return;
        }
        Optional<Answer.Failed> rejection = mJobs.rejection(submission, clock);
        if (rejection.isPresent()) {
            mReplies.reply(event.caller(), submission, rejection.get(), out);
            return;
        }
        mJobs.add(submission, List.of(event.caller()), out);
    }

    private void onMintedId(Event.Submitted event, String minter, List<Action> out) {
        Submission submission = event.submission();
        if (minter.equals(mSelfAddress) || event.hops() >= MAX_HOPS) {
            String reason = "the VM that holds this id no longer knows it";
            Answer answer = Replies.failed(FailureKind.MAY_HAVE_RUN, reason);
            mReplies.reply(event.caller(), submission, answer, out);
            return;
        }
        forward(submission, minter, event.hops(), List.of(event.caller()), out);
    }

    /**
     * The home failure domain of an id, empty if the id names an unknown one. It depends only on
     * the id and the configured failure domains, not on which ones are alive, so a partition
     * between failure domains can't cause a submission to be started twice.
     */
    private Optional<String> homeOf(SubmissionId id) {
        if (id.domain().isPresent()) {
            return id.domain().filter(mDomains::contains);
        }
        return Ownership.owner(id.text(), mDomains);
    }

    private void forwardHome(
            Event.Submitted event, String home, ClockReading clock, List<Action> out) {
        Optional<Forwards.Forward> existing = mForwards.find(event.submission());
        boolean sameBody =
                existing.isPresent()
                        && existing.get().submission().fingerprint()
                                == event.submission().fingerprint();
        if (sameBody) {
            existing.get().callers().add(event.caller());
            return;
        }
        Optional<String> peer = mEntryVms.pick(home, Set.of(), clock.monotonicMs());
        if (peer.isEmpty() || event.hops() >= MAX_HOPS) {
            String reason = "its home failure domain " + home + " can't be reached";
            Answer answer = Replies.mayHaveRun(event.submission(), reason);
            mReplies.reply(event.caller(), event.submission(), answer, out);
            return;
        }
        forward(event.submission(), peer.get(), event.hops(), List.of(event.caller()), out);
    }

    private void forwardToSibling(Event.Submitted event, ClockReading clock, List<Action> out) {
        Set<String> self = Set.of(mSelfAddress);
        Optional<String> sibling = mEntryVms.pick(mDomain, self, clock.monotonicMs());
        if (sibling.isEmpty() || event.hops() >= MAX_HOPS) {
            Answer answer = Replies.mayHaveRun(event.submission(), "this VM is draining");
            mReplies.reply(event.caller(), event.submission(), answer, out);
            return;
        }
        forward(event.submission(), sibling.get(), event.hops(), List.of(event.caller()), out);
    }

    private void requestClaim(Event.Submitted event, ClockReading clock, List<Action> out) {
        Submission submission = event.submission();
        ClaimKey key = submission.id().claimKey();
        PendingSubmission pending = mPending.get(key);
        if (pending == null) {
            pending = new PendingSubmission(submission, event.hops());
            mPending.put(key, pending);
        } else if (pending.mSubmission.fingerprint() != submission.fingerprint()) {
            mReplies.reply(event.caller(), submission, Replies.conflict(), out);
            return;
        }
        pending.mCallers.add(event.caller());
        mClaims.requestClaim(
                key, submission.id().createdMs(), submission.fingerprint(), clock, mClaimActions);
    }

    private void onClaimOutcome(
            PendingSubmission pending, ClaimOutcome outcome, ClockReading clock, List<Action> out) {
        Submission submission = pending.mSubmission;
        if (outcome instanceof ClaimOutcome.Granted) {
            onGranted(pending, clock, out);
        } else if (outcome instanceof ClaimOutcome.HeldBy held) {
            onHeldElsewhere(pending, held, out);
        } else if (outcome instanceof ClaimOutcome.Conflict) {
            mReplies.replyAll(pending.mCallers, submission, Replies.conflict(), out);
        } else if (outcome instanceof ClaimOutcome.Unknown unknown) {
            Answer answer = Replies.mayHaveRun(submission, unknown.reason(), unknown.waitMs());
            mReplies.replyAll(pending.mCallers, submission, answer, out);
        }
    }

    /**
     * Submissions are rejected only after the claim is granted: only the holder of the claim can
     * say that the id was not run, since a sibling may have started an earlier submission of it.
     */
    private void onGranted(PendingSubmission pending, ClockReading clock, List<Action> out) {
        Submission submission = pending.mSubmission;
        Optional<Answer.Failed> rejection = mJobs.rejection(submission, clock);
        if (rejection.isPresent()) {
            mClaims.release(submission.id().claimKey(), mClaimActions);
            mReplies.replyAll(pending.mCallers, submission, rejection.get(), out);
            return;
        }
        mJobs.add(submission, pending.mCallers, out);
    }

    private void onHeldElsewhere(
            PendingSubmission pending, ClaimOutcome.HeldBy held, List<Action> out) {
        if (!held.reachable() || pending.mHops >= MAX_HOPS) {
            String reason = "the VM that held it is gone";
            Answer answer = Replies.mayHaveRun(pending.mSubmission, reason);
            mReplies.replyAll(pending.mCallers, pending.mSubmission, answer, out);
            return;
        }
        String address = held.holder().address();
        forward(pending.mSubmission, address, pending.mHops, pending.mCallers, out);
    }

    private void forward(
            Submission submission,
            String address,
            int hops,
            List<CallerRef> callers,
            List<Action> out) {
        mCounters.increment(Counters.Name.FORWARDS);
        long id = mForwards.add(submission, address, hops + 1, callers);
        out.add(new Action.Forward(id, address, submission, hops + 1));
    }

    void onForwardAnswered(Event.ForwardAnswered event, List<Action> out) {
        Optional<Forwards.Forward> forward = mForwards.remove(event.forwardId());
        if (forward.isEmpty()) {
            mCounters.increment(Counters.Name.LATE_RESULTS);
            return;
        }
        mReplies.replyAll(forward.get().callers(), forward.get().submission(), event.answer(), out);
    }

    /**
     * Forwards the submission to another VM if possible. This is safe because that VM has to claim
     * the submission before it starts anything.
     */
    void onForwardLost(Event.ForwardLost event, ClockReading clock, List<Action> out) {
        Optional<Forwards.Forward> removed = mForwards.remove(event.forwardId());
        if (removed.isEmpty()) {
            return;
        }
        Forwards.Forward forward = removed.get();
        Submission submission = forward.submission();
        mEntryVms.onUnreachable(forward.address(), clock.monotonicMs());
        Optional<String> home = homeOf(submission.id());
        Optional<String> next =
                home.filter(domain -> submission.id().minter().isEmpty())
                        .flatMap(
                                domain ->
                                        mEntryVms.pick(
                                                domain,
                                                Set.of(forward.address(), mSelfAddress),
                                                clock.monotonicMs()));
        if (next.isPresent() && forward.hops() < MAX_HOPS) {
            forward(submission, next.get(), forward.hops(), forward.callers(), out);
            return;
        }
        String reason = "the VM that it was handed to did not answer";
        mReplies.replyAll(
                forward.callers(), submission, Replies.mayHaveRun(submission, reason), out);
    }

    /** Other VMs that may hold a submission that is not held here. */
    Set<String> likelyHolders(SubmissionId id) {
        if (id.minter().isPresent()) {
            return Set.of(id.minter().get());
        }
        String home = homeOf(id).orElse(mDomain);
        Set<String> holders = new HashSet<>(mEntryVms.byDomain().getOrDefault(home, List.of()));
        holders.remove(mSelfAddress);
        return holders;
    }

    /** Handles the outcome of a claim that was requested here. */
    void onClaimResolved(ClaimAction.Resolve resolve, ClockReading clock, List<Action> out) {
        PendingSubmission pending = mPending.remove(resolve.key());
        if (pending != null) {
            onClaimOutcome(pending, resolve.outcome(), clock, out);
        }
    }

    void onTick(ClockReading clock, List<Action> out) {
        for (long id : mForwards.expired(clock.wallMs())) {
            onForwardLost(new Event.ForwardLost(id, true), clock, out);
        }
    }
}
