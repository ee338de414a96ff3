package org.boragegap.app;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Handles SIGHUP, which an operator sends after changing the settings file.
 *
 * <p>Without a handler the JVM exits on SIGHUP, and the callers of this VM would lose their
 * connections at every change of the settings. The JDK's signal API is supported but not part of
 * Java SE, and the compiler hides it when building for a given release, so it is called by
 * reflection.
 */
final class HangupSignal {
    private static final Logger sLog = LogManager.getLogger(HangupSignal.class);

    private HangupSignal() {}

    /** Installs a handler that runs {@code action} on each SIGHUP, on a thread of the JVM. */
    static void handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy =
                    Proxy.newProxyInstance(
                            HangupSignal.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxy, method, arguments) -> call(proxy, method, arguments, action));
            Object hangup = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangup, handlerProxy);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            sLog.warn("SIGHUP can't be handled and will end this process: {}", e.toString());
        }
    }

    private static Object call(Object proxy, Method method, Object[] arguments, Runnable action) {
        return switch (method.getName()) {
            case "handle" -> {
                action.run();
                yield null;
            }
            case "equals" -> proxy == arguments[0];
            case "hashCode" -> System.identityHashCode(proxy);
            default -> "SIGHUP handler";
        };
    }
}
