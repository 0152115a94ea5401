# Installs the two programs, their manual pages and the operators' documentation, and packages them for Debian.
include(GNUInstallDirs)

install(TARGETS crocuslane RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR} COMPONENT crocuslane)
install(TARGETS crocuslaned RUNTIME DESTINATION ${CMAKE_INSTALL_SBINDIR} COMPONENT crocuslane)
install(FILES docs/man/crocuslane.1 DESTINATION ${CMAKE_INSTALL_MANDIR}/man1 COMPONENT crocuslane)
install(FILES docs/man/crocuslaned.8 DESTINATION ${CMAKE_INSTALL_MANDIR}/man8 COMPONENT crocuslane)
install(FILES docs/configuration.md docs/glossary.md docs/interface.md docs/OPERATIONS.md docs/settings.md LICENSE
        DESTINATION ${CMAKE_INSTALL_DOCDIR} COMPONENT crocuslane)
install(DIRECTORY examples DESTINATION ${CMAKE_INSTALL_DOCDIR} COMPONENT crocuslane)

set(CPACK_GENERATOR DEB)
set(CPACK_PACKAGE_NAME crocuslane)
set(CPACK_PACKAGE_CONTACT "crocuslane maintainers <maintainers@users.noreply.crocuslane.example>")
set(CPACK_PACKAGE_DESCRIPTION_SUMMARY ${PROJECT_DESCRIPTION})
set(CPACK_PACKAGING_INSTALL_PREFIX /usr)
set(CPACK_STRIP_FILES ON)
# Only the component crocuslane is packaged: libraries and stand-ins are not part of it.
set(CPACK_COMPONENTS_ALL crocuslane)
set(CPACK_DEB_COMPONENT_INSTALL ON)
set(CPACK_COMPONENTS_GROUPING ALL_COMPONENTS_IN_ONE)
set(CPACK_DEBIAN_FILE_NAME DEB-DEFAULT)
set(CPACK_DEBIAN_PACKAGE_SECTION net)
set(CPACK_DEBIAN_PACKAGE_SHLIBDEPS ON)
include(CPack)
