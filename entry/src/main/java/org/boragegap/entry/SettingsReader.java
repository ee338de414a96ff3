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
 * Checks one settings file.
 *
 * <p>Whatever an operator writes is checked strictly. In a file that names the store of the users'
 * platform, the values that the platform fills in are replaced if they can't be used and no promise
 * needs them; see {@link PlatformValues}.
 */
final class SettingsReader {
    private final String mName;
    private final INIConfiguration mIni;
    private final boolean mOfPlatform;
    private final Map<Setting, String> mValues = new EnumMap<>(Setting.class);
    private final List<String> mProblems = new ArrayList<>();
    private final List<String> mReplaced = new ArrayList<>();

    SettingsReader(String name, INIConfiguration ini) {
        mName = name;
        mIni = ini;
        mOfPlatform = namesStore(ini);
    }

    private static boolean namesStore(INIConfiguration ini) {
        Setting store = Setting.STORE_ADDRESS;
        Object value = ini.getSection(store.section()).getProperty(store.key());
        return value != null && !value.toString().trim().isEmpty();
    }

    Map<Setting, String> values() {
        return mValues;
    }

    /** One line for each thing that is wrong. */
    List<String> problems() {
        return mProblems;
    }

    /** One line for each value that was replaced. */
    List<String> replaced() {
        return mReplaced;
    }

    void read() {
        for (String section : mIni.getSections()) {
            readSection(section, mIni.getSection(section));
        }
        for (Setting setting : Setting.values()) {
            if (!mValues.containsKey(setting)) {
                fillIn(setting);
            }
        }
        checkTogether();
    }

    private void readSection(String section, SubnodeConfiguration keys) {
        for (Iterator<String> it = keys.getKeys(); it.hasNext(); ) {
            String key = it.next();
            String value = String.valueOf(keys.getProperty(key)).trim();
            Optional<Setting> setting = Setting.find(section, key.replace("..", "."));
            if (setting.isPresent()) {
                take(setting.get(), value);
            } else {
                mProblems.add(mName + ": [" + section + "] " + key + ": unknown key");
            }
        }
    }

    private void take(Setting setting, String value) {
        boolean replaces = mOfPlatform && PlatformValues.replaces(setting);
        Optional<String> usable =
                replaces
                        ? PlatformValues.usable(setting, value)
                        : Optional.of(value).filter(setting.type()::accepts);
        if (usable.isPresent()) {
            mValues.put(setting, usable.get());
        } else if (replaces) {
            replace(setting, " = " + value + ": expected " + setting.type().expected());
        } else {
            mProblems.add(line(setting, " = " + value + ": expected " + setting.type().expected()));
        }
    }

    private void replace(Setting setting, String problem) {
        String standIn = PlatformValues.standIn(setting);
        mValues.put(setting, standIn);
        String used = standIn.isEmpty() ? "goes without" : "uses " + standIn;
        mReplaced.add(line(setting, problem + ", " + used));
    }

    private void fillIn(Setting setting) {
        if (setting.fallback().isPresent()) {
            mValues.put(setting, setting.fallback().get());
        } else if (mOfPlatform && PlatformValues.replaces(setting)) {
            replace(setting, ": is missing");
        } else if (mProblems.stream().noneMatch(p -> p.contains(setting.key() + " = "))) {
            mProblems.add(line(setting, ": is required"));
        }
    }

    private String line(Setting setting, String rest) {
        return mName + ": [" + setting.section() + "] " + setting.key() + rest;
    }

    private void checkTogether() {
        String domain = mValues.get(Setting.FAILURE_DOMAIN);
        String domains = mValues.get(Setting.FAILURE_DOMAINS);
        // Where jobs run in cells nothing depends on the list.
        boolean both = !mOfPlatform && domain != null && domains != null;
        if (both && !Settings.split(domains).contains(domain)) {
            mProblems.add(
                    line(
                            Setting.FAILURE_DOMAIN,
                            " = " + domain + ": expected one of [deployment] failure_domains"));
        }
    }
}
