package org.boragegap.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.boragegap.core.job.Resources;
import org.junit.jupiter.api.Test;

/** A loan must not be mistaken for another loan, of another borrower or of an earlier run. */
final class LoanIdentityTest {
    private static final String SERVICE = "service";
    private static final String BORROWER = "vm1";
    private static final String OTHER_BORROWER = "vm2";
    private static final Resources NEED = new Resources(1_000, 100, 0);
    private static final Target TARGET = new Target("x:1", Role.MINION, SERVICE, NEED, 1);
    private static final long INCARNATION = 1_800_000_000_000L;

    private final Placer mOwner = owner(INCARNATION);

    private static Placer owner(long incarnation) {
        TargetPool targets = TargetPool.create(PlacementPolicy.values()[0], new Random(1));
        targets.onListed(List.of(TARGET), Set.of());
        return Placer.create(targets, incarnation);
    }

    private static long firstLoanId(Placer owner) {
        List<LoanAction> out = new ArrayList<>();
        owner.onMessage(BORROWER, new LoanMessage.Ask(SERVICE, NEED, 1), 0, out);
        return ((LoanMessage.Given) out.get(0).message()).lines().get(0).loanId();
    }

    private static LoanMessage.Back returnOf(long loanId) {
        return new LoanMessage.Back(List.of(new LoanMessage.Return(loanId, 1, 0)));
    }

    /** Guards against one VM freeing a slot on which a task of another VM runs. */
    @Test
    void onlyTheBorrowerCanReturnALoan() {
        long loanId = firstLoanId(mOwner);
        mOwner.onMessage(OTHER_BORROWER, returnOf(loanId), 10, new ArrayList<>());
        assertThat(mOwner.lentSlots()).isEqualTo(1);
        mOwner.onMessage(BORROWER, returnOf(loanId), 20, new ArrayList<>());
        assertThat(mOwner.lentSlots()).isEqualTo(0);
    }

    /** Guards against a loan granted before the owner's restart ending one granted after it. */
    @Test
    void loanIdsDifferBetweenIncarnations() {
        assertThat(firstLoanId(mOwner)).isNotEqualTo(firstLoanId(owner(INCARNATION + 1)));
    }

    /** Guards against the return of a loan from before a restart freeing a slot lent after it. */
    @Test
    void returnOfAnEarlierIncarnationsLoanIsIgnored() {
        long earlier = firstLoanId(mOwner);
        Placer restarted = owner(INCARNATION + 1);
        firstLoanId(restarted);
        restarted.onMessage(BORROWER, returnOf(earlier), 10, new ArrayList<>());
        assertThat(restarted.lentSlots()).isEqualTo(1);
    }
}
