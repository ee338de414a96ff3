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

    /** Configures nothing. */
    public static final BundleContent EMPTY = new BundleContent(Map.of(), Map.of());

    /** The team's quota. */
    public TeamQuota teamQuota(String team) {
        return teams.getOrDefault(team, TeamQuota.UNLIMITED);
    }

    /** The kind's rule. */
    public KindRule kindRule(String kind) {
        return kinds.getOrDefault(kind, KindRule.DEFAULT);
    }

    /** Why this content can't be applied, if it can't; the same on every process. */
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
