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

/** Finds out which VM may start a submission, and hands it over if that is another one. */
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

    /** From now on nothing new is taken in. */
    void drain() {
        mDraining = true;
    }

    boolean idle() {
        return mForwards.size() == 0 && mPending.isEmpty();
    }

    int forwards() {
        return mForwards.size();
    }

    /** Takes a submission, from a caller or from another VM. */
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

    /** Nobody else can know an id that was minted just now, so it needs no claim. */
    private void onNewId(Event.Submitted event, ClockReading clock, List<Action> out) {
        Submission submission = event.submission();
        if (mDraining) {
            Answer answer = Replies.notRun(submission, "this VM is draining");
            mReplies.reply(event.caller(), submission, answer, out);
            return;
        }
        Optional<Answer.Failed> objection = mJobs.rejection(submission, clock);
        if (objection.isPresent()) {
            mReplies.reply(event.caller(), submission, objection.get(), out);
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
     * The home is fixed by the id or by the configured failure domains, never by which ones are
     * alive, so that no partition between them can start a submission twice.
     */
    private Optional<String> homeOf(SubmissionId id) {
        if (id.domain().isPresent()) {
            return id.domain().filter(mDomains::contains);
        }
        return Ownership.owner(id.text(), mDomains);
    }

    private void forwardHome(
            Event.Submitted event, String home, ClockReading clock, List<Action> out) {
        Optional<Forwards.Forward> underWay = mForwards.find(event.submission());
        boolean same =
                underWay.isPresent()
                        && underWay.get().submission().fingerprint()
                                == event.submission().fingerprint();
        if (same) {
            underWay.get().callers().add(event.caller());
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
        PendingSubmission waiting = mPending.get(key);
        if (waiting == null) {
            waiting = new PendingSubmission(submission, event.hops());
            mPending.put(key, waiting);
        } else if (waiting.mSubmission.fingerprint() != submission.fingerprint()) {
            mReplies.reply(event.caller(), submission, Replies.conflict(), out);
            return;
        }
        waiting.mCallers.add(event.caller());
        mClaims.requestClaim(
                key, submission.id().createdMs(), submission.fingerprint(), clock, mClaimActions);
    }

    private void onClaimOutcome(
            PendingSubmission waiting, ClaimOutcome verdict, ClockReading clock, List<Action> out) {
        Submission submission = waiting.mSubmission;
        if (verdict instanceof ClaimOutcome.Granted) {
            onGranted(waiting, clock, out);
        } else if (verdict instanceof ClaimOutcome.HeldBy held) {
            onHeldElsewhere(waiting, held, out);
        } else if (verdict instanceof ClaimOutcome.Conflict) {
            mReplies.replyAll(waiting.mCallers, submission, Replies.conflict(), out);
        } else if (verdict instanceof ClaimOutcome.Unknown unknown) {
            Answer answer = Replies.mayHaveRun(submission, unknown.reason());
            mReplies.replyAll(waiting.mCallers, submission, answer, out);
        }
    }

    /**
     * Refusals come after the claim: only who holds it can say that the id was not run, since a
     * sibling may have started an earlier submission of it.
     */
    private void onGranted(PendingSubmission waiting, ClockReading clock, List<Action> out) {
        Submission submission = waiting.mSubmission;
        Optional<Answer.Failed> objection = mJobs.rejection(submission, clock);
        if (objection.isPresent()) {
            mClaims.release(submission.id().claimKey(), mClaimActions);
            mReplies.replyAll(waiting.mCallers, submission, objection.get(), out);
            return;
        }
        mJobs.add(submission, waiting.mCallers, out);
    }

    private void onHeldElsewhere(
            PendingSubmission waiting, ClaimOutcome.HeldBy held, List<Action> out) {
        if (!held.reachable() || waiting.mHops >= MAX_HOPS) {
            String reason = "the VM that held it is gone";
            Answer answer = Replies.mayHaveRun(waiting.mSubmission, reason);
            mReplies.replyAll(waiting.mCallers, waiting.mSubmission, answer, out);
            return;
        }
        String address = held.holder().address();
        forward(waiting.mSubmission, address, waiting.mHops, waiting.mCallers, out);
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

    /** Forwarding again elsewhere is safe: whoever takes it has to claim it. */
    void onForwardLost(Event.ForwardLost event, ClockReading clock, List<Action> out) {
        Optional<Forwards.Forward> lost = mForwards.remove(event.forwardId());
        if (lost.isEmpty()) {
            return;
        }
        Forwards.Forward forward = lost.get();
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

    /** Other VMs that may hold a submission which is not known here. */
    Set<String> likelyHolders(SubmissionId id) {
        if (id.minter().isPresent()) {
            return Set.of(id.minter().get());
        }
        String home = homeOf(id).orElse(mDomain);
        Set<String> holders = new HashSet<>(mEntryVms.byDomain().getOrDefault(home, List.of()));
        holders.remove(mSelfAddress);
        return holders;
    }

    /** Takes the verdict on a claim that was wanted here. */
    void onClaimResolved(ClaimAction.Resolve decide, ClockReading clock, List<Action> out) {
        PendingSubmission waiting = mPending.remove(decide.key());
        if (waiting != null) {
            onClaimOutcome(waiting, decide.outcome(), clock, out);
        }
    }

    void onTick(ClockReading clock, List<Action> out) {
        for (long id : mForwards.expired(clock.wallMs())) {
            onForwardLost(new Event.ForwardLost(id, true), clock, out);
        }
    }
}
