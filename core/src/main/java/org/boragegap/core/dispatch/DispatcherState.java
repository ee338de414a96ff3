package org.boragegap.core.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragegap.core.claim.DomainView;
import org.boragegap.core.claim.Member;

/**
 * A dump of a dispatcher.
 *
 * @param self this run of the process
 * @param domain its failure domain
 * @param ready whether callers may be sent here
 * @param draining whether it is going away
 * @param view the failure domain's view
 * @param claimsKept submissions remembered as claimed
 * @param claimsPending claims that wait for acknowledgements
 * @param jobsKept submissions held here, with those whose answer is kept
 * @param unanswered submissions without an answer
 * @param queuedTasks tasks that wait for a target
 * @param runningAttempts attempts under way
 * @param forwards submissions handed to other VMs
 * @param runningByTeam attempts under way by team
 * @param entryVms entry VMs as last listed, by failure domain
 * @param targets workers and minions as believed
 * @param bundleVersion bundle in force, 0 for none
 * @param bundleSinceMs wall-clock time since which it is in force
 * @param counters counts since the start
 */
public record DispatcherState(
        Member self,
        String domain,
        boolean ready,
        boolean draining,
        Optional<DomainView> view,
        int claimsKept,
        int claimsPending,
        int jobsKept,
        int unanswered,
        int queuedTasks,
        int runningAttempts,
        int forwards,
        Map<String, Integer> runningByTeam,
        Map<String, List<String>> entryVms,
        List<TargetSummary> targets,
        long bundleVersion,
        long bundleSinceMs,
        Map<Counters.Name, Long> counters) {}
