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
 * targets which doesn't grow any more decides it and writes it to the store; the store takes one
 * such record, so all others find and keep the same. All its state belongs to the timer's thread.
 */
final class LayoutKeeper {
    private static final Logger sLog = LogManager.getLogger(LayoutKeeper.class);

    /**
     * How long an answer is waited for, in ms; a store that is slow takes a quarter of a second.
     */
    private static final long ANSWER_WITHIN_MS = 500;

    /** Pause after a call that failed, in ms. */
    private static final long RETRY_MS = 200;

    /**
     * Pause between two looks at a list that may still grow, in ms. Targets of a new deployment
     * write themselves into it every 1.5 s; all that start together are there after one pause.
     */
    private static final long SETTLE_MS = 1_600;

    private final StoreClient mStore;
    private final ScheduledExecutorService mTimer;
    private final Runnable mUndecided;
    private final Supplier<List<Integer>> mCpuMillis;
    private final Consumer<CellLayout> mFound;
    private int mTargetsBefore;
    private int mTargets;

    /**
     * Makes a keeper that is not started.
     *
     * @param undecided is run when the store holds no layout yet, so that VMs get to know others
     * @param cpuMillis processor of each entry VM that is known, in thousandths of a core
     * @param found takes the layout
     */
    LayoutKeeper(
            StoreClient store,
            ScheduledExecutorService timer,
            Runnable undecided,
            Supplier<List<Integer>> cpuMillis,
            Consumer<CellLayout> found) {
        mStore = store;
        mTimer = timer;
        mUndecided = undecided;
        mCpuMillis = cpuMillis;
        mFound = found;
    }

    void start() {
        mTimer.execute(this::look);
    }

    private void look() {
        mStore.newest(
                Topics.LAYOUT,
                "",
                ANSWER_WITHIN_MS,
                result -> mTimer.execute(() -> looked(result)));
    }

    private void lookIn(long delayMs) {
        mTimer.schedule(this::look, delayMs, TimeUnit.MILLISECONDS);
    }

    private void looked(StoreResult<KeyedPage> result) {
        if (!(result instanceof StoreResult.Good<KeyedPage> good)) {
            sLog.warn("the layout can't be read: {}", result);
            lookIn(RETRY_MS);
            return;
        }
        for (KeyedRecord record : good.value().records()) {
            if (record.key().equals(Topics.CELLS_KEY)) {
                found(record.value());
                return;
            }
        }
        mUndecided.run();
        mTargets = 0;
        countTargets("");
    }

    private void found(byte[] value) {
        String text = new String(value, StandardCharsets.UTF_8);
        Optional<CellLayout> layout = CellLayout.parse(text);
        if (layout.isEmpty()) {
            sLog.error("the layout in the store is no number of cells: '{}'", text);
            lookIn(SETTLE_MS);
            return;
        }
        sLog.info("layout: {} cells", layout.get().cells());
        mFound.accept(layout.get());
    }

    private void countTargets(String after) {
        mStore.newest(
                Topics.TARGETS,
                after,
                ANSWER_WITHIN_MS,
                result -> mTimer.execute(() -> counted(result)));
    }

    private void counted(StoreResult<KeyedPage> result) {
        if (!(result instanceof StoreResult.Good<KeyedPage> good)) {
            sLog.warn("the list of targets can't be read: {}", result);
            lookIn(RETRY_MS);
            return;
        }
        KeyedPage page = good.value();
        mTargets += page.records().size();
        if (page.more() && !page.records().isEmpty()) {
            countTargets(page.records().get(page.records().size() - 1).key());
            return;
        }
        boolean settled = mTargets > 0 && mTargets == mTargetsBefore;
        mTargetsBefore = mTargets;
        if (settled) {
            decide();
        } else {
            lookIn(SETTLE_MS);
        }
    }

    private void decide() {
        List<Integer> cpuMillis = mCpuMillis.get();
        CellLayout layout = CellLayout.forDeployment(mTargets, cpuMillis);
        sLog.info(
                "layout: proposes {} cells for {} targets, {} VMs known",
                layout.cells(),
                mTargets,
                cpuMillis.size());
        mStore.appendFirst(
                Topics.LAYOUT,
                Topics.CELLS_KEY,
                layout.text().getBytes(StandardCharsets.UTF_8),
                ANSWER_WITHIN_MS,
                result -> mTimer.execute(this::look));
    }
}
