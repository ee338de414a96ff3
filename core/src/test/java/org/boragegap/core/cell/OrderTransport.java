package org.boragegap.core.cell;

import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Carries a history's orders to targets and the answers back; some are lost, late or held up. */
final class OrderTransport {
    private static final long ANSWER_TIMEOUT_MS = 300;
    private static final int TASK_FAILURE_PERCENT = 2;

    private final SimulatedClock mClock;
    private final SplittableRandom mRandom;
    private final NetworkDelays mHops;
    private final FaultRates mPercent;
    private final FakePlatform mPlatform;
    private final InvariantChecker mInvariants;

    OrderTransport(
            SimulatedClock clock,
            SplittableRandom random,
            NetworkDelays hops,
            FaultRates percent,
            FakePlatform platform,
            InvariantChecker oracle) {
        mClock = clock;
        mRandom = random;
        mHops = hops;
        mPercent = percent;
        mPlatform = platform;
        mInvariants = oracle;
    }

    private boolean chance(int percent) {
        return mRandom.nextInt(100) < percent;
    }

    /**
     * Sends an order.
     *
     * @param cut whether the sender and the target are cut off from each other at the moment
     * @param learn takes what the controller learns of it
     */
    void send(CellAction order, BooleanSupplier cut, Consumer<CellEvent> learn) {
        FakeTarget target = mPlatform.target(Orders.target(order).id());
        boolean lost = chance(mPercent.mLostAnswers);
        boolean late = chance(mPercent.mLateOrders);
        long givenUpMs = ANSWER_TIMEOUT_MS + Orders.waitMs(order);
        mClock.after(givenUpMs, () -> learn.accept(Orders.unanswered(order)));
        if (target == null || cut.getAsBoolean()) {
            return;
        }
        long delayMs = late ? 2_000 + mRandom.nextLong(4_000) : mHops.peerMs();
        long backMs = chance(mPercent.mSlowAnswers) ? 50 + mRandom.nextLong(200) : mHops.peerMs();
        Consumer<CellEvent> answer =
                event -> {
                    if (!lost && !late && !cut.getAsBoolean()) {
                        mClock.after(backMs, () -> learn.accept(event));
                    }
                };
        mClock.after(delayMs, () -> arrive(target, order, late, answer));
    }

    private void arrive(
            FakeTarget target, CellAction order, boolean late, Consumer<CellEvent> answer) {
        if (!target.alive()) {
            if (mPlatform.isTargetAliveAt(target.info().address())) {
                answer.accept(Orders.failed(order, OrderResult.OTHER_INCARNATION));
            }
            return;
        }
        if (!late && order instanceof CellAction.StartRun start) {
            mInvariants.startArrived(start.task(), target.info());
        }
        execute(target, order, answer);
    }

    private void execute(FakeTarget target, CellAction order, Consumer<CellEvent> answer) {
        target.advanceTo(mClock.nowMs());
        if (order instanceof CellAction.ExtendLease extend) {
            target.extend(extend, answer);
        } else if (order instanceof CellAction.StartRun start) {
            long takesMs = mRandom.nextInt(6) == 0 ? 1_500 : 30 + mRandom.nextInt(300);
            target.start(start, takesMs, chance(TASK_FAILURE_PERCENT), answer);
        } else {
            target.stop((CellAction.StopRun) order, answer);
        }
    }
}
