package org.boragegap.entry;

import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/** Checked settings of an entry process. */
public final class Settings {
    private final Map<Setting, String> mValues;

    private Settings(Map<Setting, String> values) {
        mValues = values;
    }

    /** What became of reading settings. */
    public sealed interface Read {

        /**
         * All settings are usable.
         *
         * @param settings the settings
         */
        record Good(Settings settings) implements Read {}

        /**
         * Some are not.
         *
         * @param problems one line each
         */
        record Bad(List<String> problems) implements Read {}
    }

    /** Reads an INI file. */
    public static Read read(Path file) {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            return new Read.Bad(List.of(file + ": can't be read: " + e.getMessage()));
        }
    }

    /** Reads INI text; {@code name} is used in errors. */
    public static Read parse(String name, String text) {
        INIConfiguration ini = new INIConfiguration();
        try (Reader reader = new StringReader(text)) {
            ini.read(reader);
        } catch (ConfigurationException | IOException e) {
            return new Read.Bad(List.of(name + ": not an INI file: " + e.getMessage()));
        }
        List<String> problems = new ArrayList<>();
        Map<Setting, String> values = new EnumMap<>(Setting.class);
        for (String section : ini.getSections()) {
            readSection(name, section, ini.getSection(section), values, problems);
        }
        fillIn(name, values, problems);
        checkTogether(name, values, problems);
        return problems.isEmpty() ? new Read.Good(new Settings(values)) : new Read.Bad(problems);
    }

    private static void readSection(
            String name,
            String section,
            SubnodeConfiguration keys,
            Map<Setting, String> values,
            List<String> problems) {
        for (Iterator<String> it = keys.getKeys(); it.hasNext(); ) {
            String key = it.next();
            String value = String.valueOf(keys.getProperty(key)).trim();
            Optional<Setting> setting = Setting.find(section, key.replace("..", "."));
            if (setting.isEmpty()) {
                problems.add(name + ": [" + section + "] " + key + ": unknown key");
            } else if (!setting.get().type().accepts(value)) {
                problems.add(problem(name, setting.get(), value));
            } else {
                values.put(setting.get(), value);
            }
        }
    }

    private static String problem(String name, Setting setting, String value) {
        return name
                + ": ["
                + setting.section()
                + "] "
                + setting.key()
                + " = "
                + value
                + ": expected "
                + setting.type().expected();
    }

    private static void fillIn(String name, Map<Setting, String> values, List<String> problems) {
        for (Setting setting : Setting.values()) {
            if (values.containsKey(setting)) {
                continue;
            }
            if (setting.fallback().isPresent()) {
                values.put(setting, setting.fallback().get());
                continue;
            }
            boolean named = problems.stream().anyMatch(p -> p.contains(setting.key() + " = "));
            if (!named) {
                problems.add(
                        name + ": [" + setting.section() + "] " + setting.key() + ": is required");
            }
        }
    }

    private static void checkTogether(
            String name, Map<Setting, String> values, List<String> problems) {
        String domain = values.get(Setting.FAILURE_DOMAIN);
        String domains = values.get(Setting.FAILURE_DOMAINS);
        if (domain != null && domains != null && !split(domains).contains(domain)) {
            problems.add(
                    name
                            + ": [vm] failure_domain = "
                            + domain
                            + ": expected one of [deployment] failure_domains");
        }
    }

    private static List<String> split(String value) {
        return Arrays.stream(value.split(",")).map(String::trim).toList();
    }

    /** A value as text. */
    public String text(Setting setting) {
        return mValues.get(setting);
    }

    /** A value as a number. */
    public long number(Setting setting) {
        return Long.parseLong(mValues.get(setting));
    }

    /** A value as a number with a fraction. */
    public double decimal(Setting setting) {
        return Double.parseDouble(mValues.get(setting));
    }

    /** A value as yes or no. */
    public boolean flag(Setting setting) {
        return Boolean.parseBoolean(mValues.get(setting));
    }

    /** A value as a list of names. */
    public List<String> names(Setting setting) {
        return split(mValues.get(setting));
    }

    /** The host of an address. */
    public String host(Setting setting) {
        String address = text(setting);
        return address.substring(0, address.lastIndexOf(':'));
    }

    /** The port of an address. */
    public int port(Setting setting) {
        String address = text(setting);
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
