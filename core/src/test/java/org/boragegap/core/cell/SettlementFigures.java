package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.boragegap.core.HistoryTrace;

/** How old terms were when they could start tasks, in ms. */
final class SettlementFigures implements HistoryTrace {
    private static final Pattern TERM_AGE = Pattern.compile("term_age_ms=(\\d+)");

    private final List<Long> mAgesMs = new ArrayList<>();

    @Override
    public void record(long nowMs, String process, Object what) {
        if (what instanceof MemberAction.Log log && log.decision().what().equals("settled")) {
            Matcher age = TERM_AGE.matcher(log.decision().inputs());
            if (age.find()) {
                add(Long.parseLong(age.group(1)));
            }
        }
    }

    private synchronized void add(long ageMs) {
        mAgesMs.add(ageMs);
    }

    /** Number of settled terms, and the mean and some percentiles of their ages. */
    synchronized String text() {
        if (mAgesMs.isEmpty()) {
            return "no term was settled";
        }
        Collections.sort(mAgesMs);
        double meanMs = mAgesMs.stream().mapToLong(ms -> ms).average().orElse(0);
        return String.format(
                "%d terms settled, after %.0f ms on average; median %d, 75%% %d, 95%% %d",
                mAgesMs.size(), meanMs, percentile(50), percentile(75), percentile(95));
    }

    private long percentile(int percent) {
        return mAgesMs.get((mAgesMs.size() - 1) * percent / 100);
    }
}
