__all__ = ['ttypes', 'constants', 'Owner']
