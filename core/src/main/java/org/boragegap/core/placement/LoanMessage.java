package org.boragegap.core.placement;

import java.util.List;
import org.boragegap.core.job.Resources;

/** Messages by which the entry VMs of a failure domain lend each other slots on their targets. */
public sealed interface LoanMessage {

    /**
     * Requests slots from the owner of targets.
     *
     * @param service service of the targets
     * @param need resources that one task needs
     * @param count number of slots
     */
    record Ask(String service, Resources need, int count) implements LoanMessage {}

    /**
     * Grants slots.
     *
     * @param service service of the request
     * @param lines the loans granted, one per target
     */
    record Given(String service, List<Line> lines) implements LoanMessage {}

    /**
     * A loan of slots on one target.
     *
     * @param loanId id of the loan, unique within its owner
     * @param target address of the target
     * @param need resources lent per slot
     * @param count number of slots
     * @param termMs how long after the request new tasks may be started there, in milliseconds
     */
    record Line(long loanId, String target, Resources need, int count, long termMs) {}

    /**
     * Recalls slots, each as soon as the task on it has ended.
     *
     * @param service service of the targets
     * @param count number of slots
     */
    record Recall(String service, int count) implements LoanMessage {}

    /**
     * Returns slots.
     *
     * @param returns the returned slots by loan
     */
    record Back(List<Return> returns) implements LoanMessage {}

    /**
     * Returned slots of one loan.
     *
     * @param loanId id of the loan
     * @param count number of slots
     * @param blamed number of these slots whose target was at fault
     */
    record Return(long loanId, int count, int blamed) {}
}
