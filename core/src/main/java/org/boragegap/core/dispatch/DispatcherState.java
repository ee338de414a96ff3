package org.boragegap.core.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragegap.core.claim.DomainView;
import org.boragegap.core.claim.Member;

/**
 * The state of a dispatcher, for a dump.
 *
 * @param self this run of the process
 * @param domain its failure domain
 * @param ready whether callers may be routed here
 * @param draining whether it is draining
 * @param view the failure domain's view
 * @param claimsKept number of submissions with at least one recorded claim
 * @param claimsPending number of claims that are waiting for acknowledgements
 * @param jobsKept number of submissions held here, including those whose answer is kept
 * @param unanswered number of submissions held here without an answer
 * @param queuedTasks number of tasks that wait for a target
 * @param runningAttempts number of attempts that are running
 * @param forwards number of submissions forwarded to other VMs and not answered yet
 * @param runningByTeam number of running attempts by team
 * @param entryVms entry VMs as last listed, by failure domain
 * @param targets the workers and minions of this failure domain as seen by this VM
 * @param bundleVersion version of the active bundle, 0 for none
 * @param bundleSinceMs wall-clock time since which that bundle is active
 * @param counters counters since the start of the process
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
