package org.boragegap.entry;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * Settings whose values the users' platform fills in when it renders the settings file, at each
 * start of a VM, and the replacements for values that are not valid.
 *
 * <p>All VMs of a deployment get the same values. When one was not of the expected form, a factor
 * of 1.5 where a whole number was expected, every VM failed to start at once, though only the
 * choice among targets depended on it. So a value is replaced if no guarantee depends on it.
 * Addresses that a VM can't work without are still checked strictly, and an invalid one ends the
 * start.
 */
final class PlatformSettings {
    /** Replaces names of failure domains, on which jobs in cells don't depend. */
    private static final String UNKNOWN_NAME = "unknown";

    /**
     * Replaces addresses that the VM can work without. It opens no listener for an empty address of
     * its own, and makes no calls to the log and the VM list where the platform has a store.
     */
    private static final String NO_ADDRESS = "";

    private static final Map<Setting, String> REPLACEMENTS = createReplacements();

    private PlatformSettings() {}

    private static Map<Setting, String> createReplacements() {
        Map<Setting, String> replacements = new EnumMap<>(Setting.class);
        replacements.put(Setting.FAILURE_DOMAIN, UNKNOWN_NAME);
        replacements.put(Setting.FAILURE_DOMAINS, UNKNOWN_NAME);
        replacements.put(Setting.OPERATOR_ADDRESS, NO_ADDRESS);
        replacements.put(Setting.METRICS_ADDRESS, NO_ADDRESS);
        replacements.put(Setting.LOG_ADDRESS, NO_ADDRESS);
        replacements.put(Setting.VM_LIST_ADDRESS, NO_ADDRESS);
        // The VMs with the most CPU control the cells; if all have these values, a hash decides.
        replacements.put(Setting.CPU_SHARE, "1");
        replacements.put(Setting.CORES, "1");
        replacements.put(Setting.FAR_FACTOR, "2");
        // Each join requests this lease or a longer one, so the store grants it or refuses
        // the join.
        replacements.put(Setting.GROUP_LEASE_MS, "1000");
        // The longest lease ever requested of a target, so none can last longer than expected.
        replacements.put(Setting.TARGET_LEASE_MS, "1000");
        // After a restart jobs may have run; that is assumed unless the platform denies it.
        replacements.put(Setting.FIRST_START, "false");
        return replacements;
    }

    /** True if an invalid or missing value of this setting is replaced. */
    static boolean isReplaceable(Setting setting) {
        return REPLACEMENTS.containsKey(setting);
    }

    /** The value that replaces an invalid or missing one. */
    static String replacement(Setting setting) {
        return REPLACEMENTS.get(setting);
    }

    /**
     * Converts a value to a form that the setting accepts; empty if there is none. A number with a
     * fraction is rounded up where a whole number is expected: it is safe to assume that a lease
     * lasts longer than it does.
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
