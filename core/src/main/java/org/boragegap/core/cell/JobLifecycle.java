package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/** Takes jobs on, and tells the entry VMs how they ended. */
final class JobLifecycle {
    /**
     * How long a verdict is kept, in ms. A caller whose connection broke hands the job in again
     * after a second or two, and gets the same answer.
     */
    private static final long VERDICT_RETENTION_MS = 10_000;

    /** How long a job without a caller is kept for its return, in ms; see above. */
    private static final long ABANDONED_RETENTION_MS = 3_000;

    /**
     * How long a refusal is remembered, in ms; a connection that is silent for two seconds is
     * closed, and what it held is lost with it.
     */
    private static final long REFUSAL_RETENTION_MS = 10_000;

    /** Reason of a refusal. */
    private static final String INFEASIBLE_REASON = "no target can hold it";

    private record KeptVerdict(Verdict verdict, long atMs) {}

    private record OfferKey(String entryVm, String job) {}

    private record Refusal(long number, long atMs) {}

    private final Term mTerm;
    private final Placement mPlacement;
    private final AdmissionControl mAdmission;
    private final RunTracker mRuns;
    private final CrashDetector mCrashes;
    private final Map<String, KeptVerdict> mVerdicts = new LinkedHashMap<>();
    private final Map<OfferKey, Refusal> mRefusals = new LinkedHashMap<>();

    JobLifecycle(
            Term term,
            Placement placement,
            AdmissionControl admission,
            RunTracker runs,
            CrashDetector crashes) {
        mTerm = term;
        mPlacement = placement;
        mAdmission = admission;
        mRuns = runs;
        mCrashes = crashes;
    }

    void offered(CellEvent.Offered offer) {
        String id = offer.request().id();
        KeptVerdict kept = mVerdicts.get(id);
        if (kept != null) {
            answer(offer.entryVm(), id, offer.number(), kept.verdict());
            return;
        }
        CellJob known = mTerm.jobs().get(id);
        if (known != null) {
            known.addOffer(offer.entryVm(), offer.number());
            return;
        }
        if (!refusedLaterOffer(offer)) {
            admitOrRefuse(offer);
        }
    }

    /**
     * Guards against an offer that was held up on its way. The entry VM has offered the job again
     * meanwhile, that offer was refused, and the caller was told so. Taking the earlier one on
     * would run a job that was said not to run.
     */
    private boolean refusedLaterOffer(CellEvent.Offered offer) {
        Refusal refusal = mRefusals.get(new OfferKey(offer.entryVm(), offer.request().id()));
        return refusal != null && refusal.number() > offer.number();
    }

    private void admitOrRefuse(CellEvent.Offered offer) {
        JobRequest request = offer.request();
        long longestMs = mAdmission.criticalPathMs(request);
        long objectiveMs = Math.round(request.stretch() * longestMs) + request.objectiveBaseMs();
        long arrivedMs = mTerm.nowMs() - offer.ageMs();
        CellJob job =
                new CellJob(
                        request,
                        arrivedMs,
                        offer.budgetMs(),
                        objectiveMs,
                        longestMs,
                        offer.controllers());
        job.addOffer(offer.entryVm(), offer.number());
        // Before any verdict: what is known to be done needs no room, and hasn't failed.
        if (mRuns.markKnownDone(job)) {
            end(job, new Verdict.Completed());
            return;
        }
        Optional<Verdict> failure = mCrashes.verdictOn(job);
        if (failure.isPresent()) {
            answer(offer.entryVm(), job.id(), offer.number(), failure.get());
            return;
        }
        if (isInfeasible(job)) {
            refuse(offer.entryVm(), offer.number(), job, INFEASIBLE_REASON, 0);
            return;
        }
        long waitMs = mAdmission.expectedWaitMs(job);
        boolean hopeless = mAdmission.tooLate(job, waitMs) && !mPlacement.hasFreeTargetFor(job);
        if (hopeless && !job.mayHaveStarted()) {
            refuse(offer.entryVm(), offer.number(), job, "would wait too long", waitMs);
            return;
        }
        mTerm.jobs().put(job.id(), job);
        mTerm.waiting().add(job);
        mTerm.log(
                Decision.job(
                        "admit",
                        job.id(),
                        "queue="
                                + request.queue()
                                + " config="
                                + request.configVersion()
                                + " age_ms="
                                + offer.ageMs()
                                + " wait_ms="
                                + waitMs
                                + " objective_ms="
                                + objectiveMs
                                + " controllers="
                                + offer.controllers(),
                        "accepted"));
        mRuns.adopt(job);
    }

    private boolean isInfeasible(CellJob job) {
        return mTerm.areTargetsKnown() && !mPlacement.isFeasible(job.request());
    }

    private void refuse(String entry, long number, CellJob job, String reason, long waitMs) {
        Optional<Long> startedIn = mTerm.startedIn(job.id());
        Verdict verdict =
                job.mayHaveStarted() || startedIn.isPresent()
                        ? new Verdict.InDoubt(reason)
                        : new Verdict.Declined(reason, mAdmission.retryAfterMs(waitMs));
        mTerm.log(
                Decision.job(
                        "refuse",
                        job.id(),
                        "queue="
                                + job.request().queue()
                                + " wait_ms="
                                + waitMs
                                + " objective_ms="
                                + job.objectiveMs()
                                + startedIn.map(fence -> " started_in=" + fence).orElse(""),
                        reason));
        OfferKey waiter = new OfferKey(entry, job.id());
        // Taken out first: an entry that is written over would keep its place among the oldest.
        mRefusals.remove(waiter);
        mRefusals.put(waiter, new Refusal(number, mTerm.nowMs()));
        answer(entry, job.id(), number, verdict);
    }

    /**
     * Refuses waiting jobs of which nothing has started and nothing can be of use any more. Held
     * until its time was over, such a caller lost a second or more in which it could have come
     * back, and was not told whether its job had run.
     */
    private void refuseExpired() {
        refuseWaiting(job -> mTerm.nowMs() > job.lastUsefulStartMs(), "waited too long");
    }

    /**
     * Refuses waiting jobs that no target can hold any more, now that targets have gone, have less
     * room, or are in a failure domain that is to be emptied.
     */
    void refuseInfeasible() {
        refuseWaiting(this::isInfeasible, INFEASIBLE_REASON);
    }

    private void refuseWaiting(Predicate<CellJob> hopeless, String reason) {
        List<CellJob> refused = new ArrayList<>();
        for (CellJob job : mTerm.waiting()) {
            boolean wanted = !job.offersByEntryVm().isEmpty() && !job.mayHaveStarted();
            if (wanted && hopeless.test(job)) {
                refused.add(job);
            }
        }
        for (CellJob job : refused) {
            drop(job);
            job.offersByEntryVm().forEach((entry, number) -> refuse(entry, number, job, reason, 0));
        }
    }

    private void answer(String entry, String job, long number, Verdict verdict) {
        mTerm.emit(new CellAction.Answer(entry, job, number, verdict));
    }

    void withdrawn(CellEvent.Withdrawn event) {
        CellJob job = mTerm.jobs().get(event.job());
        if (job == null) {
            return;
        }
        job.offersByEntryVm().remove(event.entryVm());
        if (job.offersByEntryVm().isEmpty() && !job.abandoned()) {
            job.abandon(mTerm.nowMs());
            mTerm.log(Decision.job("abandon", job.id(), "callers=0", "starts nothing more"));
        }
    }

    /** Ends a job: tells its callers, keeps the verdict, stops what still runs. */
    void end(CellJob job, Verdict verdict) {
        drop(job);
        mVerdicts.remove(job.id());
        mVerdicts.put(job.id(), new KeptVerdict(verdict, mTerm.nowMs()));
        job.offersByEntryVm().forEach((entry, offer) -> answer(entry, job.id(), offer, verdict));
        for (CellTask task : job.tasks()) {
            task.run().ifPresent(mRuns::stop);
        }
        mTerm.log(
                Decision.job(
                        "end",
                        job.id(),
                        "took_ms="
                                + (mTerm.nowMs() - job.arrivedMs())
                                + " objective_ms="
                                + job.objectiveMs(),
                        verdict.getClass().getSimpleName()));
    }

    private void drop(CellJob job) {
        mTerm.jobs().remove(job.id());
        mTerm.waiting().remove(job);
        if (job.mayHaveStarted()) {
            mTerm.recordStarted(job.id());
        }
    }

    /**
     * Removes entries from the oldest on; they stand in the order in which they were made, so that
     * none has to be looked at that stays.
     */
    private static <T> void removeOlderThan(
            Collection<T> entries, ToLongFunction<T> atMs, long beforeMs) {
        Iterator<T> it = entries.iterator();
        while (it.hasNext() && atMs.applyAsLong(it.next()) < beforeMs) {
            it.remove();
        }
    }

    void tick() {
        refuseExpired();
        removeOlderThan(mRefusals.values(), Refusal::atMs, mTerm.nowMs() - REFUSAL_RETENTION_MS);
        removeOlderThan(
                mVerdicts.values(), KeptVerdict::atMs, mTerm.nowMs() - VERDICT_RETENTION_MS);
        List<CellJob> gone = new ArrayList<>();
        for (CellJob job : mTerm.jobs().values()) {
            boolean unwanted =
                    job.abandoned() && mTerm.nowMs() - job.abandonedMs() > ABANDONED_RETENTION_MS;
            if (unwanted && !job.hasRuns()) {
                gone.add(job);
            }
        }
        gone.forEach(this::drop);
    }
}
