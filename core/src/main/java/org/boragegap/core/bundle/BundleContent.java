package org.boragegap.core.bundle;

import java.util.Map;
import java.util.Optional;
import org.boragegap.core.limit.TeamQuota;

/**
 * What a bundle configures.
 *
 * @param teams quotas by team
 * @param kinds rules by kind of task
 */
public record BundleContent(Map<String, TeamQuota> teams, Map<String, KindRule> kinds) {
    private static final int MAX_TEAMS = 10_000;

    /** Content without quotas or rules. */
    public static final BundleContent EMPTY = new BundleContent(Map.of(), Map.of());

    /** The team's quota; unlimited when the bundle doesn't name the team. */
    public TeamQuota teamQuota(String team) {
        return teams.getOrDefault(team, TeamQuota.UNLIMITED);
    }

    /** The rule for a kind of task, or the default rule. */
    public KindRule kindRule(String kind) {
        return kinds.getOrDefault(kind, KindRule.DEFAULT);
    }

    /** Why this content can't be applied, if it can't; every process comes to the same result. */
    public Optional<String> problem() {
        if (teams.size() > MAX_TEAMS) {
            return Optional.of("more than " + MAX_TEAMS + " teams");
        }
        for (Map.Entry<String, TeamQuota> entry : teams.entrySet()) {
            TeamQuota quota = entry.getValue();
            if (quota.maxRunning() < 0) {
                return Optional.of("teams." + entry.getKey() + ".maxRunning must be 0 or more");
            }
            if (!(quota.weight() > 0)) {
                return Optional.of("teams." + entry.getKey() + ".weight must be more than 0");
            }
        }
        return Optional.empty();
    }
}
