package org.boragegap.entry;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;

/**
 * Reads and checks one settings file.
 *
 * <p>In a file written by an operator every invalid value is an error. In a file that names the
 * store of the users' platform, the values that the platform fills in are replaced if they are not
 * valid and no guarantee depends on them; see {@link PlatformSettings}.
 */
final class SettingsReader {
    private final String mSourceName;
    private final INIConfiguration mIni;
    private final boolean mHasStore;
    private final Map<Setting, String> mValues = new EnumMap<>(Setting.class);
    private final List<String> mProblems = new ArrayList<>();
    private final List<String> mReplacedValues = new ArrayList<>();

    SettingsReader(String sourceName, INIConfiguration ini) {
        mSourceName = sourceName;
        mIni = ini;
        mHasStore = hasStore(ini);
    }

    private static boolean hasStore(INIConfiguration ini) {
        Setting store = Setting.STORE_ADDRESS;
        Object value = ini.getSection(store.section()).getProperty(store.key());
        return value != null && !value.toString().trim().isEmpty();
    }

    Map<Setting, String> values() {
        return mValues;
    }

    /** One line for each problem. */
    List<String> problems() {
        return mProblems;
    }

    /** One line for each value that was replaced. */
    List<String> replacedValues() {
        return mReplacedValues;
    }

    void read() {
        for (String section : mIni.getSections()) {
            readSection(section, mIni.getSection(section));
        }
        for (Setting setting : Setting.values()) {
            if (!mValues.containsKey(setting)) {
                applyDefault(setting);
            }
        }
        checkFailureDomain();
    }

    private void readSection(String section, SubnodeConfiguration keys) {
        for (Iterator<String> it = keys.getKeys(); it.hasNext(); ) {
            String key = it.next();
            String value = String.valueOf(keys.getProperty(key)).trim();
            Optional<Setting> setting = Setting.find(section, key.replace("..", "."));
            if (setting.isPresent()) {
                readValue(setting.get(), value);
            } else {
                mProblems.add(mSourceName + ": [" + section + "] " + key + ": unknown key");
            }
        }
    }

    private void readValue(Setting setting, String value) {
        boolean replaceable = mHasStore && PlatformSettings.isReplaceable(setting);
        Optional<String> normalized =
                replaceable
                        ? PlatformSettings.normalize(setting, value)
                        : Optional.of(value).filter(setting.type()::accepts);
        if (normalized.isPresent()) {
            mValues.put(setting, normalized.get());
        } else if (replaceable) {
            replace(setting, " = " + value + ": expected " + setting.type().expected());
        } else {
            mProblems.add(
                    message(setting, " = " + value + ": expected " + setting.type().expected()));
        }
    }

    private void replace(Setting setting, String problem) {
        String replacement = PlatformSettings.replacement(setting);
        mValues.put(setting, replacement);
        String outcome = replacement.isEmpty() ? "left empty" : "uses " + replacement;
        mReplacedValues.add(message(setting, problem + ", " + outcome));
    }

    private void applyDefault(Setting setting) {
        if (setting.defaultValue().isPresent()) {
            mValues.put(setting, setting.defaultValue().get());
        } else if (mHasStore && PlatformSettings.isReplaceable(setting)) {
            replace(setting, ": is missing");
        } else if (mProblems.stream().noneMatch(p -> p.contains(setting.key() + " = "))) {
            mProblems.add(message(setting, ": is required"));
        }
    }

    private String message(Setting setting, String rest) {
        return mSourceName + ": [" + setting.section() + "] " + setting.key() + rest;
    }

    private void checkFailureDomain() {
        String domain = mValues.get(Setting.FAILURE_DOMAIN);
        String domains = mValues.get(Setting.FAILURE_DOMAINS);
        // Where jobs run in cells nothing depends on the list of failure domains.
        boolean checkable = !mHasStore && domain != null && domains != null;
        if (checkable && !Settings.split(domains).contains(domain)) {
            mProblems.add(
                    message(
                            Setting.FAILURE_DOMAIN,
                            " = " + domain + ": expected one of [deployment] failure_domains"));
        }
    }
}
