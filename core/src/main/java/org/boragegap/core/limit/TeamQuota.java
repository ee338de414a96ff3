package org.boragegap.core.limit;

/**
 * What a team may use in each failure domain.
 *
 * @param maxRunning most tasks running at once; 0 blocks the team
 * @param weight share of the capacity when teams compete, relative to the others
 */
public record TeamQuota(int maxRunning, double weight) {

    /** The quota of teams that the bundle doesn't name. */
    public static final TeamQuota UNLIMITED = new TeamQuota(Integer.MAX_VALUE, 1.0);

    /**
     * The part of {@link #maxRunning} that each of {@code vms} entry VMs may use: at least 1 unless
     * the team is blocked.
     */
    public int sharePerVm(int vms) {
        if (maxRunning == Integer.MAX_VALUE || maxRunning == 0) {
            return maxRunning;
        }
        return Math.max(1, maxRunning / Math.max(1, vms));
    }
}
