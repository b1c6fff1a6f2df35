/** Settings of an instance and declarations of teams in INI files. */
package io.hickorydrift.proxy.settings;
