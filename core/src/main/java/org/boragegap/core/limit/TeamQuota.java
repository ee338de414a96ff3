package org.boragegap.core.limit;

/**
 * What a team may use in each failure domain.
 *
 * @param maxRunning tasks running at once; 0 bars the team
 * @param weight share of the capacity when teams compete, relative to the others
 */
public record TeamQuota(int maxRunning, double weight) {

    /** For teams that the bundle doesn't name. */
    public static final TeamQuota UNLIMITED = new TeamQuota(Integer.MAX_VALUE, 1.0);

    /** The part of the quota that one of {@code vms} entry VMs may give out. */
    public int sharePerVm(int vms) {
        if (maxRunning == Integer.MAX_VALUE || maxRunning == 0) {
            return maxRunning;
        }
        return Math.max(1, maxRunning / Math.max(1, vms));
    }
}
