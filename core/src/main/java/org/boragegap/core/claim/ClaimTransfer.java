package org.boragegap.core.claim;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.boragegap.core.ClockReading;

/**
 * Transfers the claims of a view to its newcomers.
 *
 * <p>A newcomer asks one established member after the other until it has every part of one
 * snapshot. An established member that answers has already left the parent view, so its snapshot
 * has every claim granted under that view.
 */
final class ClaimTransfer {
    private static final int CLAIMS_PER_PART = 2_000;

    private final ViewManager mViews;
    private final ClaimTable mTable;
    private final ClaimLimits mLimits;
    private final Set<Integer> mFetchedParts = new HashSet<>();
    private long mFetchSentMs = Long.MIN_VALUE / 2;
    private int mFetchRound;

    ClaimTransfer(ViewManager views, ClaimTable table, ClaimLimits limits) {
        mViews = views;
        mTable = table;
        mLimits = limits;
    }

    /** Discards the parts fetched under the earlier view; they are no snapshot for the new one. */
    void onViewChanged() {
        mFetchedParts.clear();
        mFetchSentMs = Long.MIN_VALUE / 2;
    }

    void onTick(ClockReading clock, List<ClaimAction> out) {
        boolean due = clock.monotonicMs() - mFetchSentMs >= mLimits.resendMs();
        if (!mViews.inView() || mViews.hasAllClaims() || !due) {
            return;
        }
        mFetchSentMs = clock.monotonicMs();
        DomainView view = mViews.currentView().orElseThrow();
        List<Member> sources = view.establishedMembers();
        if (sources.isEmpty()) {
            return;
        }
        mFetchRound++;
        mFetchedParts.clear();
        Member source = sources.get(mFetchRound % sources.size());
        ClaimMessage message = new ClaimMessage.Fetch(view.uid(), mFetchRound);
        out.add(new ClaimAction.Send(source.address(), message));
    }

    void onFetch(Member from, ClaimMessage.Fetch fetch, List<ClaimAction> out) {
        boolean sameView = mViews.currentView().map(DomainView::uid).orElse(0L) == fetch.viewUid();
        if (!sameView || !mViews.hasAllClaims()) {
            return;
        }
        List<Claim> all = mTable.all();
        int parts = Math.max(1, (all.size() + CLAIMS_PER_PART - 1) / CLAIMS_PER_PART);
        for (int part = 0; part < parts; part++) {
            int start = part * CLAIMS_PER_PART;
            int end = Math.min(all.size(), start + CLAIMS_PER_PART);
            List<Claim> claims = List.copyOf(all.subList(start, end));
            out.add(
                    new ClaimAction.Send(
                            from.address(),
                            new ClaimMessage.Claims(
                                    fetch.viewUid(), fetch.round(), part, parts, claims)));
        }
    }

    void onClaims(ClaimMessage.Claims claims, ClockReading clock) {
        boolean sameView = mViews.currentView().map(DomainView::uid).orElse(0L) == claims.viewUid();
        boolean asked = mViews.inView() && !mViews.hasAllClaims() && claims.round() == mFetchRound;
        if (!sameView || !asked) {
            return;
        }
        for (Claim claim : claims.claims()) {
            mTable.put(claim, clock.monotonicMs());
        }
        mFetchedParts.add(claims.part());
        if (mFetchedParts.size() == claims.parts()) {
            mViews.onClaimsFetched();
        }
    }
}
