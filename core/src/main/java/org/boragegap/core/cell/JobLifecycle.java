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
import org.boragegap.core.limit.RetryAfter;
import org.boragegap.core.records.RefusalBasis;

/** Admits or refuses offered jobs, and reports to the entry VMs how they ended. */
final class JobLifecycle {
    /**
     * How long a verdict is kept, in ms. A caller whose connection broke submits the job again
     * after a second or two and gets the same answer.
     */
    private static final long VERDICT_RETENTION_MS = 10_000;

    /**
     * How long a job without a caller is kept in case the caller returns, in ms; see {@link
     * #VERDICT_RETENTION_MS}.
     */
    private static final long ABANDONED_RETENTION_MS = 3_000;

    /**
     * How long a refusal is remembered, in ms. A connection that is silent for two seconds is
     * closed and loses the messages in transit, which limits how late an offer can arrive.
     */
    private static final long REFUSAL_RETENTION_MS = 10_000;

    /** Reason for refusing a job that no available target can run. */
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
            mTerm.records().offered(id, mTerm.nowMs());
            admitOrRefuse(offer);
        }
    }

    /**
     * True for an offer that was delayed in transit after the refusal of a later offer of the same
     * job. The caller was told that the job does not run, so the delayed offer must not be
     * admitted.
     */
    private boolean refusedLaterOffer(CellEvent.Offered offer) {
        Refusal refusal = mRefusals.get(new OfferKey(offer.entryVm(), offer.request().id()));
        return refusal != null && refusal.number() > offer.number();
    }

    /**
     * Admits or refuses a job. A term that may be over refuses none: the next controller may have
     * started it. If there is none, the job is refused later.
     */
    private void admitOrRefuse(CellEvent.Offered offer) {
        JobRequest request = offer.request();
        long criticalPathMs = mAdmission.criticalPathMs(request);
        long objectiveMs =
                Math.round(request.stretch() * criticalPathMs) + request.objectiveBaseMs();
        long arrivedMs = mTerm.nowMs() - offer.ageMs();
        CellJob job =
                new CellJob(
                        request,
                        arrivedMs,
                        offer.budgetMs(),
                        objectiveMs,
                        criticalPathMs,
                        offer.controllers());
        mAdmission.setTails(job);
        job.addOffer(offer.entryVm(), offer.number());
        // Checked before any refusal or failure: tasks known to be done need no capacity and have
        // not failed.
        if (mRuns.markKnownDone(job)) {
            end(job, new Verdict.Completed());
            return;
        }
        Optional<Verdict> failure = mCrashes.verdictOn(job);
        if (failure.isPresent()) {
            answer(offer.entryVm(), job.id(), offer.number(), failure.get());
            return;
        }
        if (mTerm.isExclusive() && isInfeasible(job)) {
            refuse(offer.entryVm(), offer.number(), job, INFEASIBLE_REASON, 0);
            return;
        }
        long expectedWaitMs = mAdmission.expectedWaitMs(job);
        boolean tooLate =
                mAdmission.tooLate(job, expectedWaitMs) && !mPlacement.hasFreeTargetFor(job);
        if (tooLate && mTerm.isExclusive() && !job.mayHaveStarted()) {
            refuse(offer.entryVm(), offer.number(), job, "would wait too long", expectedWaitMs);
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
                                + expectedWaitMs
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

    private void refuse(
            String entryVm, long number, CellJob job, String reason, long expectedWaitMs) {
        Optional<Long> startedIn = mTerm.startedIn(job.id());
        RefusalBasis basis =
                job.mayHaveStarted() || startedIn.isPresent()
                        ? RefusalBasis.MAY_HAVE_STARTED
                        : mTerm.records().basis(job.id(), mTerm.nowMs());
        Verdict verdict =
                basis.allowsRefusal()
                        ? new Verdict.Declined(
                                reason, RetryAfter.wholeSecondsMs(expectedWaitMs, job.id()))
                        : new Verdict.InDoubt(reason);
        mTerm.log(
                Decision.job(
                        "refuse",
                        job.id(),
                        "queue="
                                + job.request().queue()
                                + " wait_ms="
                                + expectedWaitMs
                                + " objective_ms="
                                + job.objectiveMs()
                                + startedIn.map(fence -> " started_in=" + fence).orElse("")
                                + " basis="
                                + basis.name(),
                        reason));
        OfferKey key = new OfferKey(entryVm, job.id());
        // Removed first, because replacing the value would keep the entry's old insertion order.
        mRefusals.remove(key);
        mRefusals.put(key, new Refusal(number, mTerm.nowMs()));
        answer(entryVm, job.id(), number, verdict);
    }

    /**
     * Refuses waiting jobs that have not started and whose answer would come too late to be of use.
     * If such a job were held until its deadline, its caller would lose a second or more in which
     * it could have retried, and would not be told whether the job had run.
     */
    private void refuseExpired() {
        refuseWaiting(job -> mTerm.nowMs() > job.lastUsefulStartMs(), "waited too long");
    }

    /**
     * Refuses waiting jobs that no target can run any more, because targets have left, have lost
     * capacity or are in an evacuated failure domain.
     */
    void refuseInfeasible() {
        refuseWaiting(this::isInfeasible, INFEASIBLE_REASON);
    }

    private void refuseWaiting(Predicate<CellJob> condition, String reason) {
        if (!mTerm.isExclusive()) {
            return;
        }
        List<CellJob> refused = new ArrayList<>();
        for (CellJob job : mTerm.waiting()) {
            boolean wanted = !job.offersByEntryVm().isEmpty() && !job.mayHaveStarted();
            if (wanted && condition.test(job)) {
                refused.add(job);
            }
        }
        for (CellJob job : refused) {
            drop(job);
            job.offersByEntryVm()
                    .forEach((entryVm, number) -> refuse(entryVm, number, job, reason, 0));
        }
    }

    private void answer(String entryVm, String job, long number, Verdict verdict) {
        mTerm.emit(new CellAction.Answer(entryVm, job, number, verdict));
    }

    void withdrawn(CellEvent.Withdrawn event) {
        CellJob job = mTerm.jobs().get(event.job());
        if (job == null) {
            return;
        }
        job.offersByEntryVm().remove(event.entryVm());
        if (job.offersByEntryVm().isEmpty() && !job.abandoned()) {
            job.abandon(mTerm.nowMs());
            mTerm.log(Decision.job("abandon", job.id(), "callers=0", "no more tasks are started"));
        }
    }

    /** Ends a job: answers its callers, keeps the verdict and stops its remaining runs. */
    void end(CellJob job, Verdict verdict) {
        drop(job);
        mVerdicts.remove(job.id());
        mVerdicts.put(job.id(), new KeptVerdict(verdict, mTerm.nowMs()));
        job.offersByEntryVm()
                .forEach((entryVm, offer) -> answer(entryVm, job.id(), offer, verdict));
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
     * Removes entries older than {@code beforeMs}. The entries are in insertion order, so the scan
     * stops at the first one to keep.
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
        List<CellJob> expired = new ArrayList<>();
        for (CellJob job : mTerm.jobs().values()) {
            boolean retentionOver =
                    job.abandoned() && mTerm.nowMs() - job.abandonedMs() > ABANDONED_RETENTION_MS;
            if (retentionOver && !job.hasRuns()) {
                expired.add(job);
            }
        }
        expired.forEach(this::drop);
    }
}
