package org.boragegap.entry;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * Values that the users' platform fills in, in the settings that are rendered at each start of a
 * VM, and what stands in for one that can't be used.
 *
 * <p>All VMs of a deployment get the same values. One that was strange, as a factor of 1.5 where
 * whole numbers were expected, ended the start of every VM at once, though nothing but the choice
 * among targets depended on it. So a value without which no promise is broken is replaced; the
 * addresses that a VM can't serve without still end its start.
 */
final class PlatformSettings {
    /** Stands in for the names of failure domains, which jobs in cells don't depend on. */
    private static final String UNKNOWN_NAME = "unknown";

    /** Listens nowhere, or calls nobody: not used where the platform has a store. */
    private static final String NO_ADDRESS = "";

    private static final Map<Setting, String> REPLACEMENTS = createReplacements();

    private PlatformSettings() {}

    private static Map<Setting, String> createReplacements() {
        Map<Setting, String> standIns = new EnumMap<>(Setting.class);
        standIns.put(Setting.FAILURE_DOMAIN, UNKNOWN_NAME);
        standIns.put(Setting.FAILURE_DOMAINS, UNKNOWN_NAME);
        standIns.put(Setting.OPERATOR_ADDRESS, NO_ADDRESS);
        standIns.put(Setting.METRICS_ADDRESS, NO_ADDRESS);
        standIns.put(Setting.LOG_ADDRESS, NO_ADDRESS);
        standIns.put(Setting.VM_LIST_ADDRESS, NO_ADDRESS);
        // The strongest VMs take the cells: among equals the order is drawn by hash.
        standIns.put(Setting.CPU_SHARE, "1");
        standIns.put(Setting.CORES, "1");
        standIns.put(Setting.FAR_FACTOR, "2");
        // Each join asks for this lease, so the store grants it or says no.
        standIns.put(Setting.GROUP_LEASE_MS, "1000");
        // The longest lease that is ever asked of a target: none can last longer than expected.
        standIns.put(Setting.TARGET_LEASE_MS, "1000");
        return standIns;
    }

    /** True when a strange value of this setting, or none, is replaced. */
    static boolean isReplaceable(Setting setting) {
        return REPLACEMENTS.containsKey(setting);
    }

    /** What is used when the value can't be. */
    static String replacement(Setting setting) {
        return REPLACEMENTS.get(setting);
    }

    /**
     * The value in a form that the setting takes: a number with a fraction is rounded up where
     * whole numbers are expected, as a lease that counts as longer than it is breaks nothing.
     */
    static Optional<String> normalize(Setting setting, String value) {
        if (setting.type().accepts(value)) {
            return Optional.of(value);
        }
        try {
            String rounded = Long.toString((long) Math.ceil(Double.parseDouble(value)));
            return setting.type().accepts(rounded) ? Optional.of(rounded) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
