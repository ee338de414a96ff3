package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Tells the other entry VMs which targets the next controller has to ask what runs there. Lent
 * targets are among them; borrowed ones are those of their lender.
 */
final class TargetAnnouncer {
    private final Term mTerm;
    private List<TargetInfo> mAnnounced = List.of();

    TargetAnnouncer(Term term) {
        mTerm = term;
    }

    /** Announces the targets if they have changed; loans change the order only. */
    void announceChanges() {
        List<TargetInfo> infos = new ArrayList<>();
        for (Target target : mTerm.targets().values()) {
            if (target.loan().isEmpty()) {
                infos.add(target.info());
            }
        }
        mTerm.lentTargets().values().forEach(lent -> infos.add(lent.info()));
        if (!Set.copyOf(infos).equals(Set.copyOf(mAnnounced))) {
            mAnnounced = infos;
            mTerm.emit(new CellAction.BroadcastTargets(infos));
        }
    }
}
