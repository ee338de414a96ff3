package org.boragegap.core.placement;

import java.util.List;
import org.boragegap.core.job.Resources;

/** What entry VMs of one failure domain say to each other about room on targets. */
public sealed interface LoanMessage {

    /**
     * Asks the owner of targets for room.
     *
     * @param service service of the targets
     * @param need what one task needs
     * @param count for how many tasks at once
     */
    record Ask(String service, Resources need, int count) implements LoanMessage {}

    /**
     * Gives room.
     *
     * @param service service that was asked for
     * @param lines what is given
     */
    record Given(String service, List<Line> lines) implements LoanMessage {}

    /**
     * Room on one target.
     *
     * @param loanId names the loan within the owner
     * @param target address of the target
     * @param need room for one task
     * @param count for how many tasks at once
     * @param termMs how long after the ask new tasks may be started there
     */
    record Line(long loanId, String target, Resources need, int count, long termMs) {}

    /**
     * Wants room back as soon as the tasks on it have ended.
     *
     * @param service service of the targets
     * @param count for how many tasks
     */
    record Recall(String service, int count) implements LoanMessage {}

    /**
     * Gives room back.
     *
     * @param returns what is given back of each loan
     */
    record Back(List<Return> returns) implements LoanMessage {}

    /**
     * Room of one loan that is given back.
     *
     * @param loanId the loan
     * @param count for how many tasks
     * @param blamed how many of them the target failed
     */
    record Return(long loanId, int count, int blamed) {}
}
