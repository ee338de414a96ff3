package org.boragegap.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.boragegap.core.claim.LoggedView;
import org.boragegap.core.claim.ViewRecord;

/** An in-memory log with limited retention, in place of the platform's, for {@link History}. */
final class FakeLog {
    private record Item(long atMs, ViewRecord record) {}

    private final List<Item> mItems = new ArrayList<>();
    private final long mRetentionMs;

    FakeLog(long retentionMs) {
        mRetentionMs = retentionMs;
    }

    void append(ViewRecord record, long nowMs) {
        mItems.add(new Item(nowMs, record));
    }

    int endOffset() {
        return mItems.size();
    }

    /** Offset of the oldest record that is kept. */
    int firstOffset(long nowMs) {
        int first = 0;
        while (first < mItems.size() && mItems.get(first).atMs() < nowMs - mRetentionMs) {
            first++;
        }
        return first;
    }

    List<LoggedView> read(int from, long nowMs) {
        List<LoggedView> views = new ArrayList<>();
        for (int i = Math.max(from, firstOffset(nowMs)); i < mItems.size(); i++) {
            Item item = mItems.get(i);
            views.add(new LoggedView(i, item.record(), item.atMs(), nowMs - item.atMs()));
        }
        return views;
    }
}
