package org.boragegap.core.cell;

import java.util.List;
import java.util.Optional;
import org.boragegap.core.ClockReading;

/** Obtains from the group the proofs on which a controller's authority rests. */
final class HoldProofs {
    /** Time between two joins of a controller that waits for the group to confirm it, in ms. */
    private static final long CONFIRMATION_INTERVAL_MS = 50;

    private final Membership mMembership;
    private final CellController mController;
    private long mConfirmationAskedMs;

    HoldProofs(Membership membership, CellController controller) {
        mMembership = membership;
        mController = controller;
    }

    /** After the answer to a join: asks whether the hold is unbroken, if that isn't proven. */
    void joined(List<MemberAction> actions) {
        mMembership
                .takeHoldCheck()
                .ifPresent(check -> actions.add(new MemberAction.CheckHold(check)));
    }

    /** Takes the group's answer; returns a log entry if it concerns the current term. */
    Optional<Decision> checked(MemberEvent.HoldChecked answer, ClockReading clock) {
        boolean current =
                mMembership.holdChecked(answer.check(), answer.unbroken(), answer.sent(), clock);
        return current
                ? Optional.of(ControllerAuthority.holdChecked(answer, clock))
                : Optional.empty();
    }

    /** Joins at once when the term can be settled as soon as the group confirms it. */
    void tick(long nowMs, List<MemberAction> actions) {
        boolean due = nowMs - mConfirmationAskedMs >= CONFIRMATION_INTERVAL_MS;
        if (due && mController.awaitsConfirmation()) {
            mConfirmationAskedMs = nowMs;
            actions.add(new MemberAction.Rejoin());
        }
    }
}
