package org.acaciapond.config.model;

/**
 * One version of the targets of a service.
 *
 * @param name name that targets announce
 */
public record VersionConfig(String name) {}
