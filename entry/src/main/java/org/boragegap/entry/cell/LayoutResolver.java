package org.boragegap.entry.cell;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragegap.core.cell.CellLayout;
import org.boragegap.platform.KeyedPage;
import org.boragegap.platform.KeyedRecord;
import org.boragegap.platform.StoreClient;
import org.boragegap.platform.StoreResult;
import org.boragegap.platform.Topics;

/**
 * Finds out how the deployment is divided into cells. The first entry VM that sees a list of
 * targets which no longer grows computes the layout and writes it to the store. The store accepts
 * only one such record, so that all VMs use the same layout. All state is confined to the timer's
 * thread.
 */
final class LayoutResolver {
    private static final Logger sLog = LogManager.getLogger(LayoutResolver.class);

    /** How long to wait for an answer, in ms; a store that is slow takes a quarter of a second. */
    private static final long ANSWER_TIMEOUT_MS = 500;

    /** Pause after a call that failed, in ms. */
    private static final long RETRY_MS = 200;

    /**
     * Pause before the targets are counted again while their list may still grow, in ms. Targets of
     * a new deployment write their entries every 1.5 s; all that start together are listed after
     * one pause.
     */
    private static final long RECOUNT_PAUSE_MS = 1_600;

    private final StoreClient mStore;
    private final ScheduledExecutorService mTimer;
    private final Runnable mLayoutMissing;
    private final Supplier<List<Integer>> mCpuMillis;
    private final Consumer<CellLayout> mListener;
    private int mPreviousTargetCount;
    private int mTargetCount;

    /**
     * Creates a resolver that is not started.
     *
     * @param layoutMissing run when the store holds no layout yet, so that this VM learns which
     *     others there are
     * @param cpuMillis CPU capacity of each entry VM that is known, in thousandths of a core
     * @param listener receives the layout
     */
    LayoutResolver(
            StoreClient store,
            ScheduledExecutorService timer,
            Runnable layoutMissing,
            Supplier<List<Integer>> cpuMillis,
            Consumer<CellLayout> listener) {
        mStore = store;
        mTimer = timer;
        mLayoutMissing = layoutMissing;
        mCpuMillis = cpuMillis;
        mListener = listener;
    }

    void start() {
        mTimer.execute(this::readLayout);
    }

    private void readLayout() {
        mStore.newest(
                Topics.LAYOUT,
                "",
                ANSWER_TIMEOUT_MS,
                result -> mTimer.execute(() -> layoutRead(result)));
    }

    private void scheduleRead(long delayMs) {
        mTimer.schedule(this::readLayout, delayMs, TimeUnit.MILLISECONDS);
    }

    private void layoutRead(StoreResult<KeyedPage> result) {
        if (!(result instanceof StoreResult.Success<KeyedPage> good)) {
            sLog.warn("the layout can't be read: {}", result);
            scheduleRead(RETRY_MS);
            return;
        }
        for (KeyedRecord record : good.value().records()) {
            if (record.key().equals(Topics.CELLS_KEY)) {
                layoutFound(record.value());
                return;
            }
        }
        mLayoutMissing.run();
        mTargetCount = 0;
        countTargets("");
    }

    private void layoutFound(byte[] value) {
        String text = new String(value, StandardCharsets.UTF_8);
        Optional<CellLayout> layout = CellLayout.parse(text);
        if (layout.isEmpty()) {
            sLog.error("invalid layout in the store, expected a number of cells: '{}'", text);
            scheduleRead(RECOUNT_PAUSE_MS);
            return;
        }
        sLog.info(
                "layout: {} cells, minimum lease {} ms",
                layout.get().cells(),
                layout.get().minLeaseMs());
        mListener.accept(layout.get());
    }

    private void countTargets(String after) {
        mStore.newest(
                Topics.TARGETS,
                after,
                ANSWER_TIMEOUT_MS,
                result -> mTimer.execute(() -> targetsCounted(result)));
    }

    private void targetsCounted(StoreResult<KeyedPage> result) {
        if (!(result instanceof StoreResult.Success<KeyedPage> good)) {
            sLog.warn("the list of targets can't be read: {}", result);
            scheduleRead(RETRY_MS);
            return;
        }
        KeyedPage page = good.value();
        mTargetCount += page.records().size();
        if (page.hasMore() && !page.records().isEmpty()) {
            countTargets(page.records().get(page.records().size() - 1).key());
            return;
        }
        boolean stable = mTargetCount > 0 && mTargetCount == mPreviousTargetCount;
        mPreviousTargetCount = mTargetCount;
        if (stable) {
            proposeLayout();
        } else {
            scheduleRead(RECOUNT_PAUSE_MS);
        }
    }

    private void proposeLayout() {
        List<Integer> cpuMillis = mCpuMillis.get();
        CellLayout layout = CellLayout.forDeployment(mTargetCount, cpuMillis);
        sLog.info(
                "layout: proposes {} cells, minimum lease {} ms, for {} targets, {} VMs known",
                layout.cells(),
                layout.minLeaseMs(),
                mTargetCount,
                cpuMillis.size());
        mStore.appendFirst(
                Topics.LAYOUT,
                Topics.CELLS_KEY,
                layout.text().getBytes(StandardCharsets.UTF_8),
                ANSWER_TIMEOUT_MS,
                result -> mTimer.execute(this::readLayout));
    }
}
