package org.boragegap.core.cell;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.boragegap.core.ClockReading;

/**
 * Carries checks of the hold to the simulated group and back: some are lost, or answered so late
 * that the group has changed since. Draws from a sequence of its own.
 */
final class FakeHoldChecks {
    private static final int LOST_ONE_IN = 10;
    private static final int LATE_ONE_IN = 10;
    private static final long MAX_LATE_MS = 1_500;

    private final SimulatedClock mClock;
    private final SplittableRandom mRandom;
    private final NetworkDelays mDelays;

    FakeHoldChecks(SimulatedClock clock, NetworkDelays delays, long seed) {
        mClock = clock;
        mRandom = new SplittableRandom(seed);
        mDelays = delays;
    }

    /**
     * Sends a check.
     *
     * @param done receives the answer, if it isn't lost
     */
    void send(
            FakeGroup group,
            FakeEntryVm vm,
            Membership.HoldCheck check,
            Consumer<MemberEvent> done) {
        String member = vm.member();
        ClockReading sent = vm.clock(mClock.nowMs());
        if (mRandom.nextInt(LOST_ONE_IN) > 0) {
            mClock.after(delayMs(), () -> answer(group, member, check, sent, done));
        }
    }

    private void answer(
            FakeGroup group,
            String member,
            Membership.HoldCheck check,
            ClockReading sent,
            Consumer<MemberEvent> done) {
        boolean unbroken = group.commit(member, check.since(), mClock.nowMs());
        if (mRandom.nextInt(LOST_ONE_IN) > 0) {
            MemberEvent answer = new MemberEvent.HoldChecked(check, unbroken, sent);
            mClock.after(delayMs(), () -> done.accept(answer));
        }
    }

    private long delayMs() {
        return mRandom.nextInt(LATE_ONE_IN) == 0
                ? mRandom.nextLong(MAX_LATE_MS)
                : mDelays.storeMs(mRandom);
    }
}
