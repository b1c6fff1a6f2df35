/** Client of the platform's key-value service and list of machines. */
package io.hickorydrift.proxy.platform;
